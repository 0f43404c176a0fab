package stileferry.connectivity;

/**
 * What is known of the links when a decision is checked.
 *
 * @param leading whether this controller leads
 * @param handingOver whether a handover is under way
 * @param storeAnswerAgeMs milliseconds since the state service last answered; -1: it never has
 * @param manySuspects whether half of all workers or more are suspect
 * @param manySuspectsMs milliseconds for which that has been so; 0 where it is not
 */
public record LinkEvidence(
        boolean leading, boolean handingOver, long storeAnswerAgeMs, boolean manySuspects, long manySuspectsMs) {}
