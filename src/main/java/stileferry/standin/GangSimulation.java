package stileferry.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stileferry.protocol.ExitReason;
import stileferry.protocol.Heartbeat.TaskPhase;
import stileferry.protocol.JobSpec;

/**
 * Simulates what the tasks of a gang know of each other, for all workers of one deployment and as the published
 * protocol demands: they start together, save their checkpoints together, and exit when one of them is lost.
 */
public final class GangSimulation {
    private static final long NEVER = -1;

    private final long assemblyTimeoutMs;
    private final long lossDetectionMs;
    private final Map<String, Gang> gangs = new HashMap<>();

    /** Saved progress of each job in milliseconds of run time, by job id. */
    private final Map<String, Long> savedProgressMs = new HashMap<>();

    /** One attempt of a gang. */
    private static final class Gang {
        private final JobSpec spec;
        private final Map<String, WorkerTask> members = new HashMap<>();
        private long startedAt = NEVER;

        /** When the first task was lost without a saved checkpoint. */
        private long memberLostAt = NEVER;

        /** When the first task began to save its checkpoint. */
        private long saveStartedAt = NEVER;

        private int savingTasks;

        Gang(JobSpec spec) {
            this.spec = spec;
        }

        boolean started() {
            return startedAt != NEVER;
        }

        boolean memberLost() {
            return memberLostAt != NEVER;
        }

        boolean saving() {
            return saveStartedAt != NEVER;
        }

        boolean complete() {
            return members.size() == spec.taskCount();
        }

        /** Returns whether all tasks are saving and none is lost, so that the checkpoint will be complete. */
        boolean allSaving() {
            return savingTasks == spec.taskCount() && !memberLost();
        }

        /** Returns until when the gang has made progress: the time when it began to save, else now. */
        long progressEnd(long now) {
            return saving() ? saveStartedAt : now;
        }
    }

    /**
     * Creates a simulation without gangs.
     *
     * @param assemblyTimeoutS seconds for which a task waits for the gang's other tasks
     * @param lossDetectionS seconds within which a task detects that another one is lost
     */
    public GangSimulation(double assemblyTimeoutS, double lossDetectionS) {
        assemblyTimeoutMs = Math.round(1000 * assemblyTimeoutS);
        lossDetectionMs = Math.round(1000 * lossDetectionS);
    }

    private static String key(WorkerTask task) {
        return task.spec().id() + "#" + task.attempt();
    }

    private Gang gangOf(WorkerTask task) {
        return gangs.computeIfAbsent(key(task), key -> new Gang(task.spec()));
    }

    /** Handles a task whose image has been pulled: it waits for its gang; the last one makes all of them start. */
    void imagePulled(WorkerTask task, long now) {
        Gang gang = gangOf(task);
        gang.members.put(task.taskId(), task);
        task.enter(TaskPhase.WAITING_FOR_GANG, now + assemblyTimeoutMs);
        if (gang.complete() && !gang.started()) {
            gang.startedAt = now;
            for (WorkerTask member : gang.members.values()) {
                member.enter(TaskPhase.RUNNING);
                member.worker().markHeartbeatDue();
            }
        }
    }

    /** Advances the time for a task whose image has been pulled; returns why it exits now, or null if it does not. */
    ExitReason tick(WorkerTask task, long now) {
        Gang gang = gangOf(task);
        if (!gang.started()) {
            return now >= task.phaseEndsAt() ? ExitReason.GANG_INCOMPLETE : null;
        }
        if (gang.saving()) {
            return tickCheckpointSave(gang, task, now);
        }
        if (gang.memberLost()) {
            return lossDetected(gang, now) ? ExitReason.GANG_MEMBER_LOST : null;
        }
        if (now >= gang.startedAt + remainingRunTimeMs(gang.spec)) {
            for (WorkerTask member : new ArrayList<>(gang.members.values())) {
                member.worker().exit(member, ExitReason.COMPLETED);
            }
        }
        return null;
    }

    private ExitReason tickCheckpointSave(Gang gang, WorkerTask task, long now) {
        if (!gang.allSaving()) {
            return now >= gang.saveStartedAt + lossDetectionMs ? ExitReason.GANG_MEMBER_LOST : null;
        }
        if (task.phase() == TaskPhase.SAVING_CHECKPOINT && now >= task.phaseEndsAt()) {
            savedProgressMs.merge(gang.spec.id(), gang.saveStartedAt - gang.startedAt, Long::sum);
            gang.startedAt = gang.saveStartedAt; // so that the other tasks do not add this progress again
            task.markCheckpointSaved();
            return ExitReason.STOPPED;
        }
        return null;
    }

    private long remainingRunTimeMs(JobSpec spec) {
        return Math.round(1000 * spec.estimateS()) - savedProgressMs.getOrDefault(spec.id(), 0L);
    }

    private boolean lossDetected(Gang gang, long now) {
        return gang.memberLost() && now >= gang.memberLostAt + lossDetectionMs / 2;
    }

    /** Makes a running task save its checkpoint; returns false if its gang has not started or has detected a loss. */
    boolean tryBeginSave(WorkerTask task, long now) {
        Gang gang = gangOf(task);
        if (!gang.started() || lossDetected(gang, now)) {
            return false;
        }
        gang.saveStartedAt = gang.progressEnd(now);
        gang.savingTasks++;
        return true;
    }

    /** Handles the exit of a task whose image had been pulled. */
    void memberExited(WorkerTask task, long now) {
        Gang gang = gangOf(task);
        gang.members.remove(task.taskId(), task);
        boolean completed = task.exitReason() == ExitReason.COMPLETED;
        if (gang.started() && !completed && !task.checkpointSaved() && !gang.memberLost()) {
            gang.memberLostAt = now;
            rollBackToPeriodicCheckpoint(gang, now);
        }
        if (gang.members.isEmpty()) {
            gangs.remove(key(task));
        }
    }

    /** Discards the progress that a gang made after its last periodic checkpoint, since it lost a task. */
    private void rollBackToPeriodicCheckpoint(Gang gang, long now) {
        long intervalMs = Math.round(1000 * gang.spec.checkpointIntervalS());
        long progressMs = savedProgressMs.getOrDefault(gang.spec.id(), 0L) + gang.progressEnd(now) - gang.startedAt;
        savedProgressMs.put(gang.spec.id(), intervalMs > 0 ? progressMs / intervalMs * intervalMs : 0);
    }

    /** Returns the ids of jobs that have tasks of more than one attempt now, which must never happen. */
    public List<String> jobsWithConcurrentAttempts() {
        Map<String, Integer> attemptsByJob = new HashMap<>();
        gangs.values().stream()
                .filter(gang -> !gang.members.isEmpty())
                .forEach(gang -> attemptsByJob.merge(gang.spec.id(), 1, Integer::sum));
        return attemptsByJob.entrySet().stream()
                .filter(entry -> entry.getValue() > 1)
                .map(Map.Entry::getKey)
                .toList();
    }
}
