package stileferry.connectivity;

/**
 * What a decision is checked against.
 *
 * @param leading whether this controller leads
 * @param handingOver whether it is handing the leadership over
 * @param storeAnswerAgeMs milliseconds since the state service last answered; -1: it never has
 * @param manySuspects whether half of all workers or more are suspect
 * @param manySuspectsMs for how long that has been so
 */
public record LinkEvidence(
        boolean leading, boolean handingOver, long storeAnswerAgeMs, boolean manySuspects, long manySuspectsMs) {}
