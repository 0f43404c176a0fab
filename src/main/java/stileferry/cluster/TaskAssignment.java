package stileferry.cluster;

import stileferry.protocol.Heartbeat;

/**
 * One attempt of a task, assigned to a machine. It is made durable before the machine hears of it, and is settled only
 * by proof that the task is not there. Times are milliseconds on the controller's steady clock.
 */
public final class TaskAssignment {
    private final Job job;
    private final int index;
    private final long attempt;
    private final String machine;
    private final long incarnation;
    private final String taskId;

    private final String attemptId;
    private final long assignedAt;

    private boolean durable;

    private GangAttempt gangAttempt;

    private long recordNumber;
    private boolean startSent;
    private Heartbeat.TaskPhase phase;
    private long runningSince;
    private boolean startedOverdue;
    private double stopGraceS = -1;
    private long stopRequestedAt;

    /**
     * An assignment that is not durable yet.
     *
     * @param index the task's number in its job
     * @param incarnation the incarnation of the machine's agent that is to run the task
     * @param assignedAt when this leader decided; 0 for an assignment read from the store
     */
    public TaskAssignment(Job job, int index, long attempt, String machine, long incarnation, long assignedAt) {
        this.job = job;
        this.index = index;
        this.attempt = attempt;
        this.machine = machine;
        this.incarnation = incarnation;
        this.taskId = job.spec().id() + "/" + index;
        this.attemptId = taskId + "#" + attempt;
        this.assignedAt = assignedAt;
    }

    /** Whether the machine may hear of it: it is durable, and so are all assignments of its gang's attempt. */
    public boolean startable() {
        return durable && (gangAttempt == null || gangAttempt.startable());
    }

    /** Whether the task is to stop. */
    public boolean stopping() {
        return stopGraceS >= 0;
    }

    /** Requests a stop; a shorter grace period replaces a longer one. */
    void requestStop(double graceS, long now) {
        if (stopGraceS < 0 || graceS < stopGraceS) {
            stopGraceS = graceS;
            stopRequestedAt = now;
        }
    }

    /** The work that a stop would lose, in milliseconds: all of it, or what came after the last checkpoint. */
    long lostWorkMs(long now) {
        long ran = runtimeMs(now);
        long checkpoint = Math.round(job.spec().checkpointIntervalS() * 1000);
        return checkpoint > 0 ? Math.min(ran, checkpoint) : ran;
    }

    /** The work that preempting it would lose, in milliseconds, and 1 for the stop: a gang stops whole. */
    public long preemptionCostMs(long now) {
        return (1 + lostWorkMs(now)) * (job.spec().isGang() ? job.assignments().size() : 1);
    }

    /** How long it has been seen running, in milliseconds. */
    public long runtimeMs(long now) {
        return runningSince == 0 ? 0 : now - runningSince;
    }

    public Job job() {
        return job;
    }

    /** The task's number in its job, from 0. */
    public int index() {
        return index;
    }

    public long attempt() {
        return attempt;
    }

    public String machine() {
        return machine;
    }

    /** The incarnation of the machine's agent that is to run the task. */
    public long incarnation() {
        return incarnation;
    }

    public String taskId() {
        return taskId;
    }

    /** The task's id and the attempt, which no other assignment has. */
    public String attemptId() {
        return attemptId;
    }

    /** When this leader decided; 0 for an assignment read from the store. */
    public long assignedAt() {
        return assignedAt;
    }

    /** Whether it is stored, so that the next leader will know it. */
    public boolean durable() {
        return durable;
    }

    public void markDurable() {
        durable = true;
    }

    /** Its gang's attempt; null for other jobs, and for assignments read from the store. */
    public GangAttempt gangAttempt() {
        return gangAttempt;
    }

    /** It becomes a part of its gang's attempt. */
    public void joinGangAttempt(GangAttempt attempt) {
        gangAttempt = attempt;
    }

    /** Notes the number of the stored record that holds it now. */
    public void stored(long number) {
        recordNumber = number;
    }

    /** Whether the stored record of this number holds it. */
    public boolean storedIn(long number) {
        return recordNumber == number;
    }

    /** Whether a command to start was sent in any way, so that the machine may know the attempt. */
    public boolean startSent() {
        return startSent;
    }

    /** A command to start is sent to the machine. */
    public void markStartSent() {
        startSent = true;
    }

    /** The phase that the machine last reported; null: it has not reported the task yet. */
    public Heartbeat.TaskPhase phase() {
        return phase;
    }

    public void recordPhase(Heartbeat.TaskPhase reported) {
        phase = reported;
    }

    /** When it was first reported running to this leader; 0: not yet. */
    public long runningSince() {
        return runningSince;
    }

    public void markRunning(long now) {
        runningSince = now;
    }

    /** Whether it was started as the first task of an overdue job, and so is not to be preempted at once. */
    public boolean startedOverdue() {
        return startedOverdue;
    }

    /** It is the first task of an overdue job. */
    public void markStartedOverdue() {
        startedOverdue = true;
    }

    /** The grace period in seconds within which a stopping task may save a checkpoint; -1: it is not to stop. */
    public double stopGraceS() {
        return stopGraceS;
    }

    /** When the stop was requested, or its grace period last shortened; 0: it was not. */
    public long stopRequestedAt() {
        return stopRequestedAt;
    }
}
