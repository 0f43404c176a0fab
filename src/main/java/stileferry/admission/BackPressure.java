package stileferry.admission;

/** The bottleneck that kept the leader from admitting more jobs, and that the admission rate adapts to. */
public enum BackPressure {
    /** No bottleneck. */
    NONE,

    /** The leader's event loop lags behind its work. */
    LEADER,

    /** The key-value store commits changes more slowly than they arrive. */
    KEY_VALUE_STORE
}
