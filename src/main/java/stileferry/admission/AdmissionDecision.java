package stileferry.admission;

/**
 * What becomes of a request to admit a job.
 *
 * @param admitted whether it may be accepted now
 * @param retryAfterS the seconds after which it is worth another try; 0 if it was admitted
 */
public record AdmissionDecision(boolean admitted, int retryAfterS) {
    /** It may be accepted. */
    static final AdmissionDecision ADMITTED = new AdmissionDecision(true, 0);

    /** It has to wait for so long, in whole seconds that users honour. */
    static AdmissionDecision retryAfter(double waitS) {
        int seconds = (int) Math.ceil(waitS);
        return new AdmissionDecision(false, Math.max(1, Math.min(AdmissionConfig.MAX_RETRY_AFTER_S, seconds)));
    }
}
