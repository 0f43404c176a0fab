package stileferry.standin;

/** Injects faults into the links between stand-ins and controllers, independently in each direction. */
public interface LinkFaults {
    /** No link has a fault. */
    LinkFaults NONE = (from, to) -> Effect.NONE;

    /** Name of the key-value store as a destination. */
    String KEY_VALUE_STORE = "state";

    /** Name of the cloud as a destination. */
    String CLOUD = "cloud";

    /** What happens to a request on a link. */
    enum Effect {
        /** The request is processed and its response arrives. */
        NONE,

        /** The request fails immediately without being processed. */
        REFUSED,

        /** The request is lost before it is processed. */
        REQUEST_LOST,

        /** The request is processed, but its response is lost. */
        ANSWER_LOST,

        /** The request is processed and its response arrives, but late. */
        SLOW,

        /**
         * The message arrives late: a transaction or a direct command is processed seconds later, without a response; a
         * heartbeat is answered, and a copy of it arrives again later.
         */
        LATE,

        /**
         * The request is processed and answered; a transaction or a direct command then arrives again, once or several
         * times.
         */
        REPEATED
    }

    /**
     * Returns what happens to a request that is sent now.
     *
     * @param from a machine's name, or the address that a controller's connections come from
     * @param to a machine's or a controller's name, {@link #KEY_VALUE_STORE} or {@link #CLOUD}
     */
    Effect effectOn(String from, String to);
}
