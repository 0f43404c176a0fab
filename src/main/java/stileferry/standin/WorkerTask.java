package stileferry.standin;

import stileferry.protocol.ExitReason;
import stileferry.protocol.Heartbeat.TaskPhase;
import stileferry.protocol.JobSpec;

/** One attempt of a task on a stand-in worker. */
final class WorkerTask {
    private final Worker worker;
    private final String taskId;
    private final long attempt;
    private final JobSpec spec;
    private TaskPhase phase = TaskPhase.PULLING_IMAGE;
    private long phaseEndsAt;
    private ExitReason exitReason;
    private boolean checkpointSaved;

    /**
     * Creates a task that begins to pull its image.
     *
     * @param spec the job's spec, or null if the worker does not know the job
     */
    WorkerTask(Worker worker, String taskId, long attempt, JobSpec spec) {
        this.worker = worker;
        this.taskId = taskId;
        this.attempt = attempt;
        this.spec = spec;
    }

    Worker worker() {
        return worker;
    }

    String taskId() {
        return taskId;
    }

    long attempt() {
        return attempt;
    }

    JobSpec spec() {
        return spec;
    }

    TaskPhase phase() {
        return phase;
    }

    /** Returns when the current phase ends unless something else ends it before. */
    long phaseEndsAt() {
        return phaseEndsAt;
    }

    void setPhaseEndsAt(long time) {
        phaseEndsAt = time;
    }

    void enter(TaskPhase nextPhase) {
        phase = nextPhase;
    }

    void enter(TaskPhase nextPhase, long endsAt) {
        phase = nextPhase;
        phaseEndsAt = endsAt;
    }

    void exit(ExitReason reason) {
        phase = TaskPhase.EXITED;
        exitReason = reason;
    }

    boolean exited() {
        return phase == TaskPhase.EXITED;
    }

    /** Returns whether the image has been pulled and the task has not exited. */
    boolean started() {
        return phase == TaskPhase.WAITING_FOR_GANG
                || phase == TaskPhase.RUNNING
                || phase == TaskPhase.SAVING_CHECKPOINT;
    }

    /** Returns why the task has exited, or null if it has not. */
    ExitReason exitReason() {
        return exitReason;
    }

    boolean checkpointSaved() {
        return checkpointSaved;
    }

    void markCheckpointSaved() {
        checkpointSaved = true;
    }
}
