package stileferry.connectivity;

/**
 * The result of checking a leader's decision against the state of its links.
 *
 * @param allowed whether the decision is permitted
 * @param reason why it is withheld, for operators, or an empty string if it is permitted
 * @param retryAfterMs milliseconds after which to check again, or 0 if it is permitted
 */
public record Verdict(boolean allowed, String reason, long retryAfterMs) {
    static final Verdict ALLOWED = new Verdict(true, "", 0);

    static Verdict withheld(String reason, long retryAfterMs) {
        return new Verdict(false, reason, retryAfterMs);
    }
}
