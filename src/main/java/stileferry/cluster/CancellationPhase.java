package stileferry.cluster;

/**
 * The phase of a job's cancellation. A cancellation never returns to an earlier phase, and it is independent of {@link
 * JobPhase}: a cancelled job is completing or completed as soon as none of its tasks is left, regardless of the phase
 * that its cancellation has reached by then.
 */
enum CancellationPhase {
    /** The job is not cancelled. */
    NONE,

    /** A user has requested the cancellation; no further tasks of the job are started. */
    REQUESTED,

    /** The cancellation is durable, so the next leader will know about it. */
    DURABLE,

    /** Enough controllers know about it that it is known wherever leases may be renewed without a leader. */
    REPLICATED,

    /** The cancellation may be reported to users: it is replicated, and none of the job's tasks can start any more. */
    CONFIRMED
}
