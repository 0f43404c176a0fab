package stileferry.connectivity;

/**
 * What a controller should do about the leadership.
 *
 * @param action what it should do
 * @param nominee who should lead instead; null where nobody is named
 * @param reason why, for people
 */
public record LeadershipAdvice(Action action, String nominee, String reason) {
    /** What a controller can do about the leadership. */
    public enum Action {
        /** A leader goes on. */
        STAY,

        /** A leader hands over to the nominee. */
        HAND_OVER,

        /** A leader that can serve nobody, and hears nobody, releases the leadership. */
        STEP_DOWN,

        /** A follower stands for the leadership when it is free. */
        STAND,

        /** A follower leaves the leadership to others for a while. */
        ABSTAIN
    }

    static LeadershipAdvice of(Action action, String reason) {
        return new LeadershipAdvice(action, null, reason);
    }
}
