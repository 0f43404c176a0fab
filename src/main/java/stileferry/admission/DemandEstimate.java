package stileferry.admission;

/**
 * Distinct jobs whose users asked lately and were not admitted, as the sketches tell.
 *
 * @param waitingJobs the estimate; exact while a flow has fewer jobs than the sketches' nominal entries
 * @param lowerBound the lower bound at two standard deviations
 * @param upperBound the upper bound at two standard deviations
 */
public record DemandEstimate(double waitingJobs, double lowerBound, double upperBound) {
    /** Nobody asks. */
    static final DemandEstimate NONE = new DemandEstimate(0, 0, 0);
}
