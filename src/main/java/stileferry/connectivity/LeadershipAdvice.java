package stileferry.connectivity;

/**
 * What a controller should do about the leadership.
 *
 * @param action what it should do
 * @param nominee the controller that should lead instead, or null if there is none
 * @param reason the reason, for operators
 */
public record LeadershipAdvice(Action action, String nominee, String reason) {
    /** What a leader or a follower can do about the leadership. */
    public enum Action {
        /** For a leader: keep the leadership. */
        STAY,

        /** For a leader: hand the leadership over to the nominee. */
        HAND_OVER,

        /** For a leader that reaches no controller and few workers: release the leadership without a nominee. */
        STEP_DOWN,

        /** For a follower: become a candidate when there is no leader. */
        STAND,

        /** For a follower: delay the candidacy. */
        ABSTAIN
    }

    static LeadershipAdvice of(Action action, String reason) {
        return new LeadershipAdvice(action, null, reason);
    }
}
