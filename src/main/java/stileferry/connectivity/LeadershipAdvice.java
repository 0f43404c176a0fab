package stileferry.connectivity;

/**
 * What a controller should do about the leadership.
 *
 * @param action what it should do
 * @param nominee the controller that should lead instead; null where there is none
 * @param reason the reason, for operators
 */
public record LeadershipAdvice(Action action, String nominee, String reason) {
    /** What a controller can do about the leadership. */
    public enum Action {
        /** A leader keeps the leadership. */
        STAY,

        /** A leader hands over to the nominee. */
        HAND_OVER,

        /** A leader that reaches no controller and few workers releases the leadership without a nominee. */
        STEP_DOWN,

        /** A follower becomes a candidate when there is no leader. */
        STAND,

        /** A follower delays its candidacy. */
        ABSTAIN
    }

    static LeadershipAdvice of(Action action, String reason) {
        return new LeadershipAdvice(action, null, reason);
    }
}
