package stileferry.connectivity;

/**
 * The state of the links on which the check of a decision is based.
 *
 * @param leading whether this controller leads
 * @param handingOver whether a handover is in progress
 * @param storeAnswerAgeMs milliseconds since the key-value store last responded, or -1 if it never has
 * @param manySuspects whether half of all workers or more are suspect
 * @param manySuspectsMs milliseconds for which {@code manySuspects} has been true, or 0 if it is false
 */
public record LinkEvidence(
        boolean leading, boolean handingOver, long storeAnswerAgeMs, boolean manySuspects, long manySuspectsMs) {}
