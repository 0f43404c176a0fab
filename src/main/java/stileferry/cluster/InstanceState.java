package stileferry.cluster;

/**
 * The leader's knowledge, in one term, of a machine as a cloud instance. The conditions are independent of each other:
 * a machine that takes too long to boot is terminated while it is still booting, and a quarantined machine may be
 * draining as well. Times are milliseconds on the controller's steady clock.
 */
public final class InstanceState {
    private long requestedAt;
    private boolean booting;
    private boolean listed;
    private long missingSince;
    private long idleSince;
    private double reclaimNoticeS = -1;
    private long cordonedUntil;
    private boolean draining;
    private boolean quarantined;
    private boolean terminating;

    /** Returns when the instance was requested from the cloud, or 0 if that is unknown. */
    public long requestedAt() {
        return requestedAt;
    }

    public void setRequestedAt(long requestedAt) {
        this.requestedAt = requestedAt;
    }

    /**
     * Returns whether the instance is known to be booting, because this leader requested it or the cloud listed it so.
     */
    public boolean booting() {
        return booting;
    }

    public void setBooting(boolean booting) {
        this.booting = booting;
    }

    /** Returns whether the cloud's list has contained the instance in this term. */
    public boolean listed() {
        return listed;
    }

    /** Records that the cloud's current list contains the instance. */
    public void markListed() {
        listed = true;
        missingSince = 0;
    }

    /** Returns since when the instance is missing from the cloud's list, or 0 if it is listed or never was. */
    public long missingSince() {
        return missingSince;
    }

    /** Records that the cloud's list no longer contains the instance. */
    public void markMissing(long now) {
        missingSince = now;
    }

    /** Returns since when no task can be on the machine; undefined while a task may be on it. */
    public long idleSince() {
        return idleSince;
    }

    public void markIdleSince(long since) {
        idleSince = since;
    }

    /**
     * Returns the seconds of notice that the machine first reported before the cloud reclaims it, or -1 if it has none.
     */
    public double reclaimNoticeS() {
        return reclaimNoticeS;
    }

    /** Records that the machine has reported a notice that the cloud will reclaim it in this many seconds. */
    public void recordReclaimNotice(double noticeS) {
        reclaimNoticeS = noticeS;
    }

    /** Returns the time before which no new tasks start on the machine. */
    public long cordonedUntil() {
        return cordonedUntil;
    }

    public void cordonUntil(long time) {
        cordonedUntil = time;
    }

    /** Returns whether the machine is being drained so that it can be returned; no new tasks start on it. */
    public boolean draining() {
        return draining;
    }

    public void startDrain() {
        draining = true;
    }

    /** Ends the drain, so that new tasks may start on the machine again. */
    public void endDrain() {
        draining = false;
    }

    /** Returns whether tasks fail because of the machine; no new tasks start on it, and it is returned once empty. */
    public boolean quarantined() {
        return quarantined;
    }

    public void quarantine() {
        quarantined = true;
    }

    /** Returns whether the instance is to be deleted at the cloud; its heartbeats no longer receive a response. */
    public boolean terminating() {
        return terminating;
    }

    /** Marks the instance as to be deleted at the cloud; this can't be undone. */
    public void terminate() {
        terminating = true;
    }
}
