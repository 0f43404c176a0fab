package stileferry.admission;

/** What kept the leader from admitting more jobs: the bottleneck that the admission rate adapts to. */
public enum BackPressure {
    /** Nothing. */
    NONE,

    /** The leader's event loop lags behind its work. */
    LEADER,

    /** The key-value store commits changes more slowly than they come up. */
    KEY_VALUE_STORE
}
