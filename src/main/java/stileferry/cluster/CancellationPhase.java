package stileferry.cluster;

/**
 * How far a job's cancellation has come. It only ever moves forward, and independently of {@link JobPhase}: a cancelled
 * job is completing or completed as soon as no task of it is left, whatever phase its cancellation has reached by then.
 */
enum CancellationPhase {
    /** Nobody has cancelled it. */
    NONE,

    /** A user has cancelled it; nothing new of it starts. */
    REQUESTED,

    /** The cancellation is durable, so the next leader will know it. */
    DURABLE,

    /** Enough controllers know it, so that it is known wherever leases may be renewed without a leader. */
    REPLICATED,

    /** Its users may hear of it: it is replicated, and no task can start any more. */
    CONFIRMED
}
