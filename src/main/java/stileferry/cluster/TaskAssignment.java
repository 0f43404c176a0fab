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
    private final long incarnation;
    private final String taskId;

    /** What tells this start of this task from all others. */
    private final String attemptId;

    /** When this leader decided; 0 for a claim read from the state service. */
    private final long assignedAt;

    private boolean durable;

    /** The start of its gang that it belongs to; null for other jobs, and for claims read from the state service. */
    private GangAttempt gangAttempt;

    /** The number of the stored record that holds this claim. */
    private long recordNumber;

    /** Commands to start that were sent in any way, so that the machine may know the attempt. */
    private int startsSent;

    /** Where the machine last said the task stands; null: not seen there yet. */
    private Heartbeat.TaskPhase phase;

    /** When it was first reported running, by this leader's clock; 0: not yet. */
    private long runningSince;

    /** Started as the first task of a job that had waited too long: not to be stopped for others at once. */
    private boolean startedOverdue;

    /** Set when the task is to stop; the time in seconds that it may take to save, or -1. */
    private double stopGraceS = -1;

    private long stopRequestedAt;

    public TaskAssignment(Job job, int index, long attempt, String machine, long session, long orderedAt) {
        this.job = job;
        this.index = index;
        this.attempt = attempt;
        this.machine = machine;
        this.incarnation = session;
        this.taskId = job.spec().id() + "/" + index;
        this.attemptId = taskId + "#" + attempt;
        this.assignedAt = orderedAt;
    }

    /** Whether the machine may hear of it: it is durable, and so are all claims of its gang's attempt. */
    public boolean startable() {
        return durable && (gangAttempt == null || gangAttempt.startable());
    }

    public boolean stopping() {
        return stopGraceS >= 0;
    }

    /** Asks for a stop; a shorter time to save replaces a longer one. */
    void requestStop(double graceS, long now) {
        if (stopGraceS < 0 || graceS < stopGraceS) {
            stopGraceS = graceS;
            stopRequestedAt = now;
        }
    }

    /** Work that a stop would lose, in milliseconds: all of it, or what came after the last checkpoint. */
    long lostWorkMs(long now) {
        long ran = runtimeMs(now);
        long checkpoint = Math.round(job.spec().checkpointIntervalS() * 1000);
        return checkpoint > 0 ? Math.min(ran, checkpoint) : ran;
    }

    /** What a stop costs in all, in milliseconds: a gang stops whole, and each stop costs something. */
    public long preemptionCostMs(long now) {
        return (1 + lostWorkMs(now)) * (job.spec().gang() ? job.assignments().size() : 1);
    }

    /** How long it has been seen running, in milliseconds. */
    public long runtimeMs(long now) {
        return runningSince == 0 ? 0 : now - runningSince;
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

    public long incarnation() {
        return incarnation;
    }

    public String taskId() {
        return taskId;
    }

    /** What tells this start of this task from all others. */
    public String attemptId() {
        return attemptId;
    }

    /** When this leader decided; 0 for a claim read from the state service. */
    public long assignedAt() {
        return assignedAt;
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
    public long recordNumber() {
        return recordNumber;
    }

    public void setRecordNumber(long record) {
        this.recordNumber = record;
    }

    /** Commands to start that were sent in any way, so that the machine may know the attempt. */
    public int startsSent() {
        return startsSent;
    }

    public void setStartsSent(int runsSent) {
        this.startsSent = runsSent;
    }

    /** Where the machine last said the task stands; null: not seen there yet. */
    public Heartbeat.TaskPhase phase() {
        return phase;
    }

    public void setPhase(Heartbeat.TaskPhase stage) {
        this.phase = stage;
    }

    /** When it was first reported running, by this leader's clock; 0: not yet. */
    public long runningSince() {
        return runningSince;
    }

    public void setRunningSince(long runningAt) {
        this.runningSince = runningAt;
    }

    /** Started as the first task of a job that had waited too long: not to be stopped for others at once. */
    public boolean startedOverdue() {
        return startedOverdue;
    }

    public void setStartedOverdue(boolean overdue) {
        this.startedOverdue = overdue;
    }

    /** Set when the task is to stop; the time in seconds that it may take to save, or -1. */
    public double stopGraceS() {
        return stopGraceS;
    }

    public long stopRequestedAt() {
        return stopRequestedAt;
    }
}
