package stileferry.connectivity;

/**
 * Whether a decision may be made.
 *
 * @param allowed whether it may
 * @param reason what it lacks, for people; empty where it may be made
 * @param retryAfterMs when it is worth another look
 */
public record Verdict(boolean allowed, String reason, long retryAfterMs) {
    static final Verdict ALLOWED = new Verdict(true, "", 0);

    static Verdict withheld(String missing, long retryAfterMs) {
        return new Verdict(false, missing, retryAfterMs);
    }
}
