package stileferry.cluster;

/** What the leader knows, in one term, of a machine as an instance that the cloud rents out. */
public final class InstanceState {
    /** Seconds until the cloud takes the machine, or -1. */
    private double reclaimNoticeS = -1;

    private long requestedAt;

    /** Known to be coming up, since this leader rented it or the list said so. */
    private boolean booting;

    private boolean listed;

    private long missingSince;

    private boolean draining;

    private boolean quarantined;

    private boolean terminating;

    private long idleSince;

    private long cordonedUntil;

    /** Seconds until the cloud takes the machine, or -1. */
    public double reclaimNoticeS() {
        return reclaimNoticeS;
    }

    public void receiveReclaimNotice(double reclaimNoticeS) {
        this.reclaimNoticeS = reclaimNoticeS;
    }

    public long requestedAt() {
        return requestedAt;
    }

    public void setRequestedAt(long requestedAt) {
        this.requestedAt = requestedAt;
    }

    /** Known to be coming up, since this leader rented it or the list said so. */
    public boolean booting() {
        return booting;
    }

    public void setBooting(boolean booting) {
        this.booting = booting;
    }

    public boolean listed() {
        return listed;
    }

    public void setListed(boolean listed) {
        this.listed = listed;
    }

    public long missingSince() {
        return missingSince;
    }

    public void setMissingSince(long missingSince) {
        this.missingSince = missingSince;
    }

    public boolean draining() {
        return draining;
    }

    public void setDraining(boolean draining) {
        this.draining = draining;
    }

    public boolean quarantined() {
        return quarantined;
    }

    public void setQuarantined(boolean quarantined) {
        this.quarantined = quarantined;
    }

    public boolean terminating() {
        return terminating;
    }

    public void setTerminating(boolean terminating) {
        this.terminating = terminating;
    }

    public long idleSince() {
        return idleSince;
    }

    public void markIdleSince(long idleSince) {
        this.idleSince = idleSince;
    }

    public long cordonedUntil() {
        return cordonedUntil;
    }

    public void cordonUntil(long cordonedUntil) {
        this.cordonedUntil = cordonedUntil;
    }
}
