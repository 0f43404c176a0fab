package stileferry.admission;

/**
 * The number of distinct jobs that were submitted recently and not admitted, estimated from sketches.
 *
 * @param waitingJobs the estimate; exact while a flow has fewer jobs than a sketch has nominal entries
 * @param lowerBound the lower bound at two standard deviations
 * @param upperBound the upper bound at two standard deviations
 */
public record DemandEstimate(double waitingJobs, double lowerBound, double upperBound) {
    /** No demand. */
    static final DemandEstimate NONE = new DemandEstimate(0, 0, 0);
}
