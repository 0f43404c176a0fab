package stileferry.lifecycle;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.cluster.GangAttempt;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.heartbeat.HeartbeatHandler;
import stileferry.heartbeat.SettlementProof;
import stileferry.heartbeat.TaskObserver;
import stileferry.leadership.TermSequence;
import stileferry.protocol.Environment;
import stileferry.protocol.ExitReason;
import stileferry.protocol.Heartbeat;
import stileferry.storage.CommitQueue;

/**
 * The lifecycle of tasks in one term: from the assignment over start and stop to the proof that settles it. A gang's
 * tasks start, stop and complete together.
 */
public final class TaskLifecycle implements TaskObserver {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    private final ClusterState cluster;
    private final Environment environment;
    private final CommitQueue commitQueue;
    private final TermSequence termSequence;
    private final HeartbeatHandler heartbeatHandler;
    private final JobCompletion jobCompletion;
    private final ExitRecorder exitRecorder;
    private final Runnable changed;
    private final GangMetrics gangMetrics = new GangMetrics();

    /**
     * The lifecycle of one term.
     *
     * @param createHeartbeatHandler makes the handler of heartbeats, which notifies this lifecycle of its tasks
     * @param createJobCompletion makes the completion of jobs, which stops their tasks here
     * @param changed run when something has changed that a scheduling pass may use
     */
    public TaskLifecycle(
            ClusterState cluster,
            Environment environment,
            CommitQueue commitQueue,
            TermSequence termSequence,
            Function<TaskObserver, HeartbeatHandler> createHeartbeatHandler,
            Function<TaskLifecycle, JobCompletion> createJobCompletion,
            Runnable changed) {
        this.cluster = cluster;
        this.environment = environment;
        this.commitQueue = commitQueue;
        this.termSequence = termSequence;
        this.heartbeatHandler = createHeartbeatHandler.apply(this);
        this.jobCompletion = createJobCompletion.apply(this);
        MachineQuarantine quarantine = new MachineQuarantine(
                cluster, assignment -> stop(assignment, assignment.job().spec().checkpointSaveS()));
        this.exitRecorder = new ExitRecorder(
                environment, quarantine, cluster.settings().workers().heartbeatRoundMs());
        this.changed = changed;
    }

    public HeartbeatHandler heartbeatHandler() {
        return heartbeatHandler;
    }

    public JobCompletion jobCompletion() {
        return jobCompletion;
    }

    public GangMetrics gangMetrics() {
        return gangMetrics;
    }

    @Override
    public void changed() {
        changed.run();
    }

    // ---- start

    /** Assigns the next pending task of a job, or all tasks of a gang, to these machines and starts them there. */
    public void start(Job job, List<Machine> machines, boolean overdue) {
        long now = environment.now();
        int index = job.nextPendingTask(now);
        long attempt = termSequence.next(); // one for all tasks of a gang, which find each other by it
        GangAttempt gangAttempt = null;
        if (job.spec().isGang()) {
            gangAttempt = new GangAttempt(machines.size());
            gangMetrics.countAttempt();
        }
        for (Machine machine : machines) {
            TaskAssignment assignment = new TaskAssignment(
                    job, index, attempt, machine.name(), machine.agent().incarnation(), now);
            if (overdue) {
                assignment.markStartedOverdue();
            }
            assignment.joinGangAttempt(gangAttempt);
            cluster.assign(assignment);
            commitQueue.appendEvent(TaskEvents.assigned(assignment), () -> assignmentDurable(assignment, machine));
            index = job.nextUnassignedTask(index);
        }
    }

    private void assignmentDurable(TaskAssignment assignment, Machine machine) {
        assignment.markDurable();
        GangAttempt gangAttempt = assignment.gangAttempt();
        if (gangAttempt == null) {
            if (mayStart(assignment)) {
                heartbeatHandler.commandDispatcher().sendSoon(machine);
            }
        } else if (gangAttempt.assignmentDurable()) {
            startGang(assignment.job(), gangAttempt);
        }
    }

    private void startGang(Job job, GangAttempt attempt) {
        for (TaskAssignment assignment : job.assignments().values()) {
            if (assignment.gangAttempt() == attempt && mayStart(assignment)) {
                heartbeatHandler.commandDispatcher().sendSoon(cluster.machine(assignment.machine()));
            }
        }
    }

    private static boolean mayStart(TaskAssignment assignment) {
        return assignment.job().holds(assignment)
                && !assignment.stopping()
                && !assignment.job().cancelled();
    }

    @Override
    public void phaseChanged(TaskAssignment assignment) {
        jobCompletion.confirmCancellation(assignment.job());
    }

    @Override
    public void gangRunning(Job job) {
        gangMetrics.countStarted();
        LOG.debug(
                "gang running: job={} tasks={} class={}",
                job.spec().id(),
                job.spec().taskCount(),
                job.spec().jobClass());
    }

    // ---- stop

    /** Stops a task whose job was cancelled. */
    public void stopCancelled(TaskAssignment assignment) {
        stopOne(assignment, 0);
    }

    @Override
    public void stopTaskOrGang(TaskAssignment assignment, double graceS) {
        stop(assignment, graceS);
    }

    /**
     * Stops an assigned task within a grace period in seconds. A gang is stopped whole: its tasks can save a checkpoint
     * only together, and one that is left alone loses what it did.
     */
    public void stop(TaskAssignment assignment, double graceS) {
        if (assignment.job().spec().isGang()) {
            double gangGraceS = graceS > 0 && !allReachable(assignment.job()) ? 0 : graceS;
            stopOne(assignment, gangGraceS);
            stopOthers(assignment, gangGraceS);
        } else {
            stopOne(assignment, graceS);
        }
    }

    /**
     * Whether all tasks of a gang can be expected to hear a stop in time. If one does not, the others can't save a
     * checkpoint: they would only wait for it, and lose what came after their last checkpoint all the same.
     */
    private boolean allReachable(Job gang) {
        for (TaskAssignment assignment : gang.assignments().values()) {
            if (!heartbeatHandler.failureDetector().reachable(cluster.machine(assignment.machine()))) {
                LOG.info(
                        "gang stopped without checkpoint: job={} unreachable_machine={}",
                        gang.spec().id(),
                        assignment.machine());
                return false;
            }
        }
        return true;
    }

    private void stopOne(TaskAssignment assignment, double graceS) {
        if (!assignment.job().holds(assignment)) {
            return; // settled with its gang; counted out twice it would let its team beyond its limit
        }
        if (!assignment.startSent()) {
            logSettled(assignment, SettlementProof.NEVER_SENT);
            settle(assignment, false, null);
            return;
        }
        cluster.requestStop(assignment, graceS, environment.now());
        heartbeatHandler.commandDispatcher().sendSoon(cluster.machine(assignment.machine()));
    }

    private void stopOthers(TaskAssignment assignment, double graceS) {
        for (TaskAssignment other : List.copyOf(assignment.job().assignments().values())) {
            if (other != assignment && (!other.stopping() || graceS < other.stopGraceS())) {
                stopOne(other, graceS);
            }
        }
    }

    /**
     * Stops the rest of a gang of which one task does not run any more, so that it starts again whole. If that task had
     * saved a checkpoint, so do the others. Otherwise none of them can: they would only wait for the missing one.
     */
    private void stopRestOfGang(TaskAssignment ended, boolean checkpointSaved) {
        if (ended.job().spec().isGang()) {
            stopOthers(ended, checkpointSaved ? ended.job().spec().checkpointSaveS() : 0);
        }
    }

    /**
     * Stops a gang at once that was read with fewer assignments than tasks, which was not started or has lost a task;
     * or, as an older version may have left it, with assignments of different attempts, whose tasks would wait for each
     * other in vain. Neither can complete or save a checkpoint; the gang starts again whole.
     */
    public void stopIncompleteGangAttempt(Job job) {
        if (job.spec().isGang() && !job.assignments().isEmpty() && !job.assignmentsFormOneAttempt()) {
            long now = environment.now();
            List.copyOf(job.assignments().values()).forEach(assignment -> cluster.requestStop(assignment, 0, now));
        }
    }

    // ---- exit

    @Override
    public void exited(Machine machine, TaskAssignment assignment, Heartbeat.TaskStatus status) {
        Job job = assignment.job();
        if (!job.holds(assignment)) {
            return; // settled with its gang
        }
        long now = environment.now();
        boolean completed =
                status.exitReason() == ExitReason.COMPLETED && !job.spec().isService();
        List<TaskAssignment> others = completed && job.spec().isGang() ? completeGang(job, assignment) : List.of();
        machine.agent().awaitDurableOutcome(status.attemptId());
        if (completed || status.exitReason() == ExitReason.FAILED) {
            job.markStarted();
        }
        exitRecorder.log(machine, assignment, status, now);
        if (completed) {
            exitRecorder.recordSuccess(machine, assignment, now);
        } else {
            recordFailure(machine, assignment, status, now);
        }
        settle(assignment, completed, () -> {
            machine.agent().outcomeDurable(status.attemptId());
            others.forEach(this::outcomeDurable);
        });
    }

    private void recordFailure(Machine machine, TaskAssignment assignment, Heartbeat.TaskStatus status, long now) {
        exitRecorder.recordFailure(machine, assignment, status, now);
        if (assignment.job().spec().isGang()) {
            gangMetrics.countExit(assignment, status);
        }
        stopRestOfGang(assignment, status.checkpointSaved());
    }

    /**
     * Completes all tasks of a gang of which one has completed, also one whose machine is gone before it reports. That
     * is stored at once, in the record of the job's completion, so that no leader starts a part of the gang again.
     *
     * @param first the assignment of the completed task, which is left to the caller; null: there is none
     * @return the assignments settled, whose machines may not clear them before the job's completion is durable
     */
    public List<TaskAssignment> completeGang(Job job, TaskAssignment first) {
        List<TaskAssignment> others = new ArrayList<>(job.assignments().values());
        others.remove(first);
        for (TaskAssignment other : others) {
            cluster.unassign(other, true);
            Machine machine = cluster.machine(other.machine());
            machine.agent().awaitDurableOutcome(other.attemptId());
            markIdleIfEmpty(machine);
        }
        for (int index = 0; index < job.spec().taskCount(); index++) {
            if (first == null || index != first.index()) {
                job.markTaskCompleted(index);
            }
        }
        return others;
    }

    /** The outcome of a task that completed with its gang is durable, so its machine may clear it. */
    private void outcomeDurable(TaskAssignment assignment) {
        Machine machine = cluster.machines().get(assignment.machine());
        if (machine != null) {
            machine.agent().outcomeDurable(assignment.attemptId());
        }
    }

    @Override
    public void gone(TaskAssignment assignment, SettlementProof proof) {
        if (assignment.job().holds(assignment)) {
            logSettled(assignment, proof);
            settle(assignment, false, null);
            if (assignment.job().spec().isGang()) {
                gangMetrics.countLost(assignment);
            }
            stopRestOfGang(assignment, false);
        }
    }

    private static void logSettled(TaskAssignment assignment, SettlementProof proof) {
        LOG.debug(
                "task assignment settled: task={} machine={} proof={}",
                assignment.taskId(),
                assignment.machine(),
                proof);
    }

    private void settle(TaskAssignment assignment, boolean completed, Runnable onDurable) {
        Job job = assignment.job();
        cluster.unassign(assignment, completed);
        markIdleIfEmpty(cluster.machine(assignment.machine()));
        if (job.unfinishedCount() == 0 && !job.cancelled()) {
            jobCompletion.complete(job, CompletedJob.DONE, onDurable);
        } else if (job.cancelled() && job.assignments().isEmpty()) {
            jobCompletion.complete(job, CompletedJob.CANCELLED, onDurable);
        } else {
            commitQueue.appendEvent(
                    completed ? TaskEvents.completed(job, assignment.index()) : TaskEvents.settled(assignment),
                    onDurable);
            jobCompletion.confirmCancellation(job);
        }
        changed.run();
    }

    private void markIdleIfEmpty(Machine machine) {
        if (machine.assignments().isEmpty()) {
            machine.instance().markIdleSince(environment.now());
        }
    }
}
