package stileferry.cluster;

import stileferry.protocol.Heartbeat;

/**
 * One attempt of a task, assigned to a machine. An assignment is made durable before any command for it is sent to the
 * machine, and is settled only by proof that the task is not on the machine. Times are milliseconds on the controller's
 * steady clock.
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
     * Creates an assignment that is not durable yet.
     *
     * @param index the index of the task in its job
     * @param incarnation the incarnation of the machine's agent that is to run the task
     * @param assignedAt when this leader made the decision, or 0 for an assignment read from the store
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

    /** Returns whether commands for it may be sent: it is durable, and so are all assignments of its gang attempt. */
    public boolean startable() {
        return durable && (gangAttempt == null || gangAttempt.startable());
    }

    /** Returns whether a stop of the task has been requested. */
    public boolean stopping() {
        return stopGraceS >= 0;
    }

    /** Requests that the task stops; a shorter grace period replaces a longer one. */
    void requestStop(double graceS, long now) {
        if (stopGraceS < 0 || graceS < stopGraceS) {
            stopGraceS = graceS;
            stopRequestedAt = now;
        }
    }

    /**
     * Returns the work that a stop would lose, in milliseconds: at most the checkpoint interval for tasks that save
     * checkpoints, and the whole run time for others.
     */
    long lostWorkMs(long now) {
        long elapsedMs = runtimeMs(now);
        long checkpointIntervalMs = Math.round(job.spec().checkpointIntervalS() * 1000);
        return checkpointIntervalMs > 0 ? Math.min(elapsedMs, checkpointIntervalMs) : elapsedMs;
    }

    /**
     * Returns the cost of preempting the task: the work that would be lost in milliseconds, plus 1 for the stop itself.
     * For a gang this is multiplied by its assignments, because all of its tasks are stopped.
     */
    public long preemptionCostMs(long now) {
        return (1 + lostWorkMs(now)) * (job.spec().isGang() ? job.assignments().size() : 1);
    }

    /**
     * Returns for how long the task has been known to run, in milliseconds, or 0 if it has not been reported running.
     */
    public long runtimeMs(long now) {
        return runningSince == 0 ? 0 : now - runningSince;
    }

    public Job job() {
        return job;
    }

    /** Returns the index of the task in its job, from 0. */
    public int index() {
        return index;
    }

    public long attempt() {
        return attempt;
    }

    public String machine() {
        return machine;
    }

    /** Returns the incarnation of the machine's agent that is to run the task. */
    public long incarnation() {
        return incarnation;
    }

    public String taskId() {
        return taskId;
    }

    /** Returns the task id combined with the attempt number, which is unique to this assignment. */
    public String attemptId() {
        return attemptId;
    }

    /** Returns when this leader made the assignment, or 0 if it was read from the store. */
    public long assignedAt() {
        return assignedAt;
    }

    /** Returns whether the assignment is durable, so that the next leader will know it. */
    public boolean durable() {
        return durable;
    }

    public void markDurable() {
        durable = true;
    }

    /** Returns the gang attempt it belongs to, or null for other jobs and for assignments read from the store. */
    public GangAttempt gangAttempt() {
        return gangAttempt;
    }

    /** Makes the assignment a part of a gang attempt, which is null if the job is not a gang. */
    public void joinGangAttempt(GangAttempt attempt) {
        gangAttempt = attempt;
    }

    /** Sets the number of the event log record that now contains this assignment. */
    public void setRecordNumber(long number) {
        recordNumber = number;
    }

    /** Returns whether the event log record with this number contains this assignment. */
    public boolean isStoredIn(long number) {
        return recordNumber == number;
    }

    /** Returns whether a start command may have been sent in any way, so that the machine may know the attempt. */
    public boolean startSent() {
        return startSent;
    }

    /** Records that a start command is sent to the machine. */
    public void markStartSent() {
        startSent = true;
    }

    /** Returns the phase that the machine last reported, or null if it has not reported the task yet. */
    public Heartbeat.TaskPhase phase() {
        return phase;
    }

    public void recordPhase(Heartbeat.TaskPhase reported) {
        phase = reported;
    }

    /** Returns when the task was first reported running to this leader, or 0 if it was not yet. */
    public long runningSince() {
        return runningSince;
    }

    public void markRunning(long now) {
        runningSince = now;
    }

    /** Returns whether the task was started as the first one of an overdue job, so that it is not preempted at once. */
    public boolean startedOverdue() {
        return startedOverdue;
    }

    /** Marks the task as the first one of an overdue job. */
    public void markStartedOverdue() {
        startedOverdue = true;
    }

    /** Returns the grace period in seconds for saving a checkpoint before the stop, or -1 if no stop is requested. */
    public double stopGraceS() {
        return stopGraceS;
    }

    /** Returns when the stop was requested or its grace period last shortened, or 0 if no stop was requested. */
    public long stopRequestedAt() {
        return stopRequestedAt;
    }
}
