package stileferry.cluster;

import stileferry.protocol.Heartbeat;

/**
 * A task that may be on a machine. It is made durable before the machine hears of it, and stands until there is
 * proof that the task is not there.
 */
public final class TaskAssignment {
    private final Job job;
    private final int index;
    private final long attempt;
    private final String machine;
    private final long session;
    private final String name;

    /** What tells this start of this task from all others. */
    private final String key;

    /** When this leader decided; 0 for a claim read from the state service. */
    private final long orderedAt;

    private boolean durable;

    /** The start of its gang that it belongs to; null for other jobs, and for claims read from the state service. */
    private GangAttempt gangAttempt;

    /** The number of the stored record that holds this claim. */
    private long record;

    /** Commands to start that were sent in any way, so that the machine may know the attempt. */
    private int runsSent;

    /** Where the machine last said the task stands; null: not seen there yet. */
    private Heartbeat.TaskPhase stage;

    /** When it was first reported running, by this leader's clock; 0: not yet. */
    private long runningAt;

    /** Started as the first task of a job that had waited too long: not to be stopped for others at once. */
    private boolean overdue;

    /** Set when the task is to stop; the time in seconds that it may take to save, or -1. */
    private double stopGraceS = -1;

    private long stopAskedAt;

    public TaskAssignment(Job job, int index, long attempt, String machine, long session, long orderedAt) {
        this.job = job;
        this.index = index;
        this.attempt = attempt;
        this.machine = machine;
        this.session = session;
        this.name = job.spec().id() + "/" + index;
        this.key = name + "#" + attempt;
        this.orderedAt = orderedAt;
    }

    /** Whether the machine may hear of it: it is durable, and so are all claims of its gang's attempt. */
    public boolean startable() {
        return durable && (gangAttempt == null || gangAttempt.startable());
    }

    public boolean stopping() {
        return stopGraceS >= 0;
    }

    /** Asks for a stop; a shorter time to save replaces a longer one. */
    void stop(double graceS, long now) {
        if (stopGraceS < 0 || graceS < stopGraceS) {
            stopGraceS = graceS;
            stopAskedAt = now;
        }
    }

    /** Work that a stop would lose, in milliseconds: all of it, or what came after the last checkpoint. */
    long lossMs(long now) {
        long ran = ranMs(now);
        long checkpoint = Math.round(job.spec().checkpointS() * 1000);
        return checkpoint > 0 ? Math.min(ran, checkpoint) : ran;
    }

    /** What a stop costs in all, in milliseconds: a gang stops whole, and each stop costs something. */
    public long stopCostMs(long now) {
        return (1 + lossMs(now)) * (job.spec().gang() ? job.claims().size() : 1);
    }

    /** How long it has been seen running, in milliseconds. */
    public long ranMs(long now) {
        return runningAt == 0 ? 0 : now - runningAt;
    }

    public Job job() {
        return job;
    }

    public int index() {
        return index;
    }

    public long attempt() {
        return attempt;
    }

    public String machine() {
        return machine;
    }

    public long session() {
        return session;
    }

    public String name() {
        return name;
    }

    /** What tells this start of this task from all others. */
    public String key() {
        return key;
    }

    /** When this leader decided; 0 for a claim read from the state service. */
    public long orderedAt() {
        return orderedAt;
    }

    public boolean durable() {
        return durable;
    }

    public void setDurable(boolean durable) {
        this.durable = durable;
    }

    /** The start of its gang that it belongs to; null for other jobs, and for claims read from the state service. */
    public GangAttempt gangAttempt() {
        return gangAttempt;
    }

    public void setGangAttempt(GangAttempt gangAttempt) {
        this.gangAttempt = gangAttempt;
    }

    /** The number of the stored record that holds this claim. */
    public long record() {
        return record;
    }

    public void setRecord(long record) {
        this.record = record;
    }

    /** Commands to start that were sent in any way, so that the machine may know the attempt. */
    public int runsSent() {
        return runsSent;
    }

    public void setRunsSent(int runsSent) {
        this.runsSent = runsSent;
    }

    /** Where the machine last said the task stands; null: not seen there yet. */
    public Heartbeat.TaskPhase stage() {
        return stage;
    }

    public void setStage(Heartbeat.TaskPhase stage) {
        this.stage = stage;
    }

    /** When it was first reported running, by this leader's clock; 0: not yet. */
    public long runningAt() {
        return runningAt;
    }

    public void setRunningAt(long runningAt) {
        this.runningAt = runningAt;
    }

    /** Started as the first task of a job that had waited too long: not to be stopped for others at once. */
    public boolean overdue() {
        return overdue;
    }

    public void setOverdue(boolean overdue) {
        this.overdue = overdue;
    }

    /** Set when the task is to stop; the time in seconds that it may take to save, or -1. */
    public double stopGraceS() {
        return stopGraceS;
    }

    public long stopAskedAt() {
        return stopAskedAt;
    }
}
