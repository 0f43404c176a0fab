package stileferry.standin;

/** Injects faults into the links between the stand-ins and the controllers, each direction by itself. */
public interface LinkFaults {
    /** No link has a fault. */
    LinkFaults NONE = (from, to) -> Effect.NONE;

    /** Names the key-value store. */
    String KEY_VALUE_STORE = "state";

    /** Names the cloud. */
    String CLOUD = "cloud";

    /** What becomes of a request. */
    enum Effect {
        /** It is carried out and answered. */
        NONE,

        /** It is refused at once. */
        REFUSED,

        /** It is lost on its way. */
        REQUEST_LOST,

        /** It is carried out, and its answer is lost. */
        ANSWER_LOST,

        /** It is carried out and answered, but late. */
        SLOW
    }

    /**
     * What becomes of a request that is sent now.
     *
     * @param from a machine's name, or the address that a controller's connections come from
     * @param to a machine's or a controller's name, {@link #KEY_VALUE_STORE} or {@link #CLOUD}
     */
    Effect effectOn(String from, String to);
}
