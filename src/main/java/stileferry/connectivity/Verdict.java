package stileferry.connectivity;

/**
 * Whether the links permit a decision.
 *
 * @param allowed whether it is permitted
 * @param reason why it is withheld, for operators; empty where it is permitted
 * @param retryAfterMs milliseconds after which to ask again; 0 where it is permitted
 */
public record Verdict(boolean allowed, String reason, long retryAfterMs) {
    static final Verdict ALLOWED = new Verdict(true, "", 0);

    static Verdict withheld(String reason, long retryAfterMs) {
        return new Verdict(false, reason, retryAfterMs);
    }
}
