package stileferry.admission;

/**
 * Whether a job is admitted.
 *
 * @param admitted whether the job may be accepted now
 * @param retryAfterS seconds after which another attempt is worthwhile; 0 if admitted
 */
public record AdmissionDecision(boolean admitted, int retryAfterS) {
    /** The job may be accepted now. */
    static final AdmissionDecision ADMITTED = new AdmissionDecision(true, 0);

    /** Refused for now; the wait is rounded up to whole seconds and limited to what clients honour. */
    static AdmissionDecision retryAfter(double waitS) {
        int seconds = (int) Math.ceil(waitS);
        return new AdmissionDecision(false, Math.max(1, Math.min(AdmissionConfig.MAX_RETRY_AFTER_S, seconds)));
    }
}
