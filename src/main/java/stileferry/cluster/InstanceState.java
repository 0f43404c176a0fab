package stileferry.cluster;

/**
 * What the leader knows, in one term, of a machine as an instance that the cloud rents out. The conditions are
 * independent of each other: a machine that boots for too long is terminated while it boots, and a quarantined one may
 * be drained too. Times are milliseconds on the controller's steady clock.
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

    /** When it was asked of the cloud; 0: unknown. */
    public long requestedAt() {
        return requestedAt;
    }

    public void setRequestedAt(long requestedAt) {
        this.requestedAt = requestedAt;
    }

    /** Whether it is known to come up, since this leader rented it or the cloud's list said so. */
    public boolean booting() {
        return booting;
    }

    public void setBooting(boolean booting) {
        this.booting = booting;
    }

    /** Whether the cloud's list has named it in this term. */
    public boolean listed() {
        return listed;
    }

    /** The cloud's list names it. */
    public void markListed() {
        listed = true;
        missingSince = 0;
    }

    /** Since when the cloud's lists do not name it any more; 0: they do, or it was never listed. */
    public long missingSince() {
        return missingSince;
    }

    /** The cloud's list does not name it any more. */
    public void markMissing(long now) {
        missingSince = now;
    }

    /** Since when no task may be on it; meaningless while one may. */
    public long idleSince() {
        return idleSince;
    }

    public void markIdleSince(long since) {
        idleSince = since;
    }

    /** The seconds of the cloud's notice before it reclaims the machine, as it was first reported; -1: no notice. */
    public double reclaimNoticeS() {
        return reclaimNoticeS;
    }

    /** The machine has reported a notice that the cloud reclaims it in so many seconds. */
    public void recordReclaimNotice(double seconds) {
        reclaimNoticeS = seconds;
    }

    /** No new tasks start on it before this time. */
    public long cordonedUntil() {
        return cordonedUntil;
    }

    public void cordonUntil(long time) {
        cordonedUntil = time;
    }

    /** Whether it is drained so that it can be returned: nothing new starts on it. */
    public boolean draining() {
        return draining;
    }

    public void startDrain() {
        draining = true;
    }

    /** It takes new tasks again. */
    public void endDrain() {
        draining = false;
    }

    /** Whether it fails its tasks: nothing new starts on it, and it is returned once it is empty. */
    public boolean quarantined() {
        return quarantined;
    }

    public void quarantine() {
        quarantined = true;
    }

    /** Whether it is to be deleted at the cloud: its heartbeats are not answered any more. */
    public boolean terminating() {
        return terminating;
    }

    /** It is to be deleted at the cloud; this can't be undone. */
    public void terminate() {
        terminating = true;
    }
}
