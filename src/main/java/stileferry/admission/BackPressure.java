package stileferry.admission;

/** What kept a leader from accepting more. */
public enum BackPressure {
    /** Nothing. */
    NONE,

    /** Its own time: it is behind with its work. */
    LEADER,

    /** The state service, which takes changes more slowly than they come up. */
    KEY_VALUE_STORE
}
