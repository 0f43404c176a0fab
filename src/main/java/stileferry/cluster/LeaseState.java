package stileferry.cluster;

/**
 * The leader's knowledge, in one term, of an agent's lease: what may have renewed it, and which incarnation's lease has
 * expired. Times are milliseconds on the controller's steady clock.
 */
public final class LeaseState {
    /** Stands for a time that is unknown or has not been reached. */
    public static final long NEVER = -1;

    private long lastAnsweredAt = NEVER;
    private long termAcknowledgedAt = NEVER;
    private long incarnationSeenAt;
    private long answeredByPreviousLeaderAt = NEVER;
    private long answeredByPreviousLeaderIncarnation;
    private LastHeartbeatRecord lastHeartbeatRecord;
    private long expiredIncarnation;

    LeaseState() {}

    /** Returns when a heartbeat of the agent was last answered in this term, or {@link #NEVER}. */
    public long lastAnsweredAt() {
        return lastAnsweredAt;
    }

    public void markAnswered(long now) {
        lastAnsweredAt = now;
    }

    /**
     * Returns when a status first showed that the agent has acknowledged this term, or {@link #NEVER} if none has. From
     * then on at the latest the agent drops responses of former leaders.
     */
    public long termAcknowledgedAt() {
        return termAcknowledgedAt;
    }

    public void recordTermAcknowledged(long now) {
        termAcknowledgedAt = now;
    }

    /** Returns when this incarnation was first seen; its lease began no later than that. */
    public long incarnationSeenAt() {
        return incarnationSeenAt;
    }

    void recordIncarnation(long now) {
        incarnationSeenAt = now;
    }

    /** Returns when the previous leader last answered a heartbeat, as it recorded that, or {@link #NEVER}. */
    public long answeredByPreviousLeaderAt() {
        return answeredByPreviousLeaderAt;
    }

    /** Returns the incarnation whose heartbeat the previous leader last answered. */
    public long answeredByPreviousLeaderIncarnation() {
        return answeredByPreviousLeaderIncarnation;
    }

    /** Sets which incarnation the previous leader last answered and when, as that leader recorded it. */
    public void recordAnsweredByPreviousLeader(long answeredIncarnation, long answeredAt) {
        answeredByPreviousLeaderIncarnation = answeredIncarnation;
        answeredByPreviousLeaderAt = answeredAt;
    }

    /** Returns the stored record of when the agent's last heartbeat was answered, or null if there is none. */
    public LastHeartbeatRecord lastHeartbeatRecord() {
        return lastHeartbeatRecord;
    }

    public void setLastHeartbeatRecord(LastHeartbeatRecord heartbeatRecord) {
        lastHeartbeatRecord = heartbeatRecord;
    }

    /** Marks the last heartbeat record, if there is one, as no longer needed in the store. */
    public void discardLastHeartbeatRecord() {
        if (lastHeartbeatRecord != null) {
            lastHeartbeatRecord.markObsolete();
            lastHeartbeatRecord = null;
        }
    }

    /**
     * Returns the highest incarnation whose lease is proven to have expired, or will have expired by the time the agent
     * is heard from again, or 0 if there is none.
     */
    public long expiredIncarnation() {
        return expiredIncarnation;
    }

    public void expireIncarnation(long expired) {
        expiredIncarnation = expired;
    }
}
