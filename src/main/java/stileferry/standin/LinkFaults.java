package stileferry.standin;

/** Breaks links between the stand-ins and the controllers, each direction apart, to try out what that does. */
public interface LinkFaults {
    /** No link is broken. */
    LinkFaults NONE = (from, to) -> Effect.NONE;

    /** Names the state service. */
    String KEY_VALUE_STORE = "state";

    /** Names the cloud. */
    String CLOUD = "cloud";

    /** What becomes of a request. */
    enum Effect {
        /** It is carried out and answered. */
        NONE,

        /** It is turned down at once. */
        REFUSED,

        /** It vanishes. */
        REQUEST_LOST,

        /** It is carried out, and its answer vanishes. */
        ANSWER_LOST,

        /** It comes late. */
        SLOW
    }

    /**
     * What becomes of a request that is sent now.
     *
     * @param from a machine's name, or the address that a controller's connections come from
     * @param to a machine's or a controller's name, {@link #KEY_VALUE_STORE} or {@link #CLOUD}
     */
    Effect of(String from, String to);
}
