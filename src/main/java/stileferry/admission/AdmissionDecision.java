package stileferry.admission;

/**
 * The decision whether a job is admitted, and when to retry if not.
 *
 * @param admitted whether the job may be accepted now
 * @param retryAfterS seconds after which to retry, or 0 if the job is admitted
 */
public record AdmissionDecision(boolean admitted, int retryAfterS) {
    /** The job may be accepted now. */
    static final AdmissionDecision ADMITTED = new AdmissionDecision(true, 0);

    /**
     * Rejects a job for now; the wait is rounded up to whole seconds, and limited to the longest that clients honour.
     */
    static AdmissionDecision retryAfter(double waitS) {
        int seconds = (int) Math.ceil(waitS);
        return new AdmissionDecision(false, Math.max(1, Math.min(AdmissionConfig.MAX_RETRY_AFTER_S, seconds)));
    }
}
