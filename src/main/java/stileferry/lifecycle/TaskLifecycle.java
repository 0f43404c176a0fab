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
 * Manages the lifecycle of tasks during one term: their assignment, start and stop, and the proof that settles the
 * assignment. The tasks of a gang start, stop and complete together.
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
    private final Runnable onSchedulingInputChange;
    private final GangMetrics gangMetrics = new GangMetrics();

    /**
     * Creates the lifecycle of one term.
     *
     * @param heartbeatHandlerFactory creates the heartbeat handler, which notifies this lifecycle of its tasks
     * @param jobCompletionFactory creates the job completion, which stops tasks through this lifecycle
     * @param onSchedulingInputChange runs when something has changed that a scheduling pass may use
     */
    public TaskLifecycle(
            ClusterState cluster,
            Environment environment,
            CommitQueue commitQueue,
            TermSequence termSequence,
            Function<TaskObserver, HeartbeatHandler> heartbeatHandlerFactory,
            Function<TaskLifecycle, JobCompletion> jobCompletionFactory,
            Runnable onSchedulingInputChange) {
        this.cluster = cluster;
        this.environment = environment;
        this.commitQueue = commitQueue;
        this.termSequence = termSequence;
        this.heartbeatHandler = heartbeatHandlerFactory.apply(this);
        this.jobCompletion = jobCompletionFactory.apply(this);
        MachineQuarantine quarantine = new MachineQuarantine(
                cluster, assignment -> stop(assignment, assignment.job().spec().checkpointSaveS()));
        this.exitRecorder = new ExitRecorder(
                environment, quarantine, cluster.settings().workers().heartbeatRoundMs());
        this.onSchedulingInputChange = onSchedulingInputChange;
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
    public void schedulingInputChanged() {
        onSchedulingInputChange.run();
    }

    // ---- start

    /**
     * Assigns the next pending task of a job, or all tasks of a gang, to these machines. The tasks are started there
     * once the assignments are durable.
     *
     * @param overdue whether the job is overdue, so that the task is not to be preempted at once
     */
    public void start(Job job, List<Machine> machines, boolean overdue) {
        long now = environment.now();
        int index = job.nextPendingTask(now);
        long attempt = termSequence.next(); // shared by all tasks of a gang, which find each other by it
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
            commitQueue.appendEvent(TaskEvents.assigned(assignment), () -> onAssignmentDurable(assignment, machine));
            index = job.nextUnassignedTask(index);
        }
        cluster.teamLimits().check(job);
    }

    /**
     * Completes or stops the gangs that were left in parts: an older version stored the completion of a single task of
     * a gang, and might have started the other tasks again.
     */
    public void repairGangs() {
        cluster.jobs().values().stream()
                .filter(job -> job.spec().isGang() && job.completedCount() > 0)
                .forEach(job -> completeGang(job, null));
        cluster.jobs().values().forEach(this::stopIncompleteGangAttempt);
    }

    private void onAssignmentDurable(TaskAssignment assignment, Machine machine) {
        assignment.markDurable();
        GangAttempt gangAttempt = assignment.gangAttempt();
        if (gangAttempt == null) {
            if (mayStart(assignment)) {
                heartbeatHandler.commandDispatcher().queueCommands(machine);
            }
        } else if (gangAttempt.recordDurableAssignment()) {
            startGang(assignment.job(), gangAttempt);
        }
    }

    private void startGang(Job job, GangAttempt attempt) {
        for (TaskAssignment assignment : job.assignments().values()) {
            if (assignment.gangAttempt() == attempt && mayStart(assignment)) {
                heartbeatHandler.commandDispatcher().queueCommands(cluster.getOrAddMachine(assignment.machine()));
            }
        }
    }

    private static boolean mayStart(TaskAssignment assignment) {
        return assignment.job().hasUnsettled(assignment)
                && !assignment.stopping()
                && !assignment.job().cancelled();
    }

    @Override
    public void taskPhaseChanged(TaskAssignment assignment) {
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

    /** Stops a task of a cancelled job. */
    public void stopCancelled(TaskAssignment assignment) {
        stopTask(assignment, 0);
    }

    @Override
    public void stopTaskOrGang(TaskAssignment assignment, double graceS) {
        stop(assignment, graceS);
    }

    /**
     * Stops an assigned task within a grace period in seconds. A gang is stopped as a whole: its tasks can save a
     * checkpoint only together, and a task that is left alone loses its work.
     */
    public void stop(TaskAssignment assignment, double graceS) {
        if (assignment.job().spec().isGang()) {
            double gangGraceS = graceS > 0 && !allReachable(assignment.job()) ? 0 : graceS;
            stopTask(assignment, gangGraceS);
            stopOtherTasks(assignment, gangGraceS);
        } else {
            stopTask(assignment, graceS);
        }
    }

    /**
     * Returns whether all tasks of a gang can be expected to receive a stop in time. If one does not, the others can't
     * save a checkpoint: they would only wait for it, and would lose the work since their last checkpoint all the same.
     */
    private boolean allReachable(Job gang) {
        for (TaskAssignment assignment : gang.assignments().values()) {
            if (!heartbeatHandler.failureDetector().reachable(cluster.getOrAddMachine(assignment.machine()))) {
                LOG.info(
                        "gang stopped without checkpoint: job={} unreachable_machine={}",
                        gang.spec().id(),
                        assignment.machine());
                return false;
            }
        }
        return true;
    }

    private void stopTask(TaskAssignment assignment, double graceS) {
        if (!assignment.job().hasUnsettled(assignment)) {
            // Settled with its gang; subtracted twice from its team's usage, it would let the team exceed its limit.
            return;
        }
        if (!assignment.startSent()) {
            logSettled(assignment, SettlementProof.NEVER_SENT);
            settle(assignment, false, null);
            return;
        }
        cluster.requestStop(assignment, graceS, environment.now());
        heartbeatHandler.commandDispatcher().queueCommands(cluster.getOrAddMachine(assignment.machine()));
    }

    private void stopOtherTasks(TaskAssignment assignment, double graceS) {
        for (TaskAssignment other : List.copyOf(assignment.job().assignments().values())) {
            if (other != assignment && (!other.stopping() || graceS < other.stopGraceS())) {
                stopTask(other, graceS);
            }
        }
    }

    /**
     * Stops the rest of a gang of which one task no longer runs, so that the gang restarts as a whole. If that task
     * saved a checkpoint, the others save one too. Otherwise none of them can: they would only wait for the missing
     * task.
     */
    private void stopRestOfGang(TaskAssignment ended, boolean checkpointSaved) {
        if (ended.job().spec().isGang()) {
            stopOtherTasks(ended, checkpointSaved ? ended.job().spec().checkpointSaveS() : 0);
        }
    }

    /**
     * Stops a gang at once if it was recovered with fewer assignments than tasks, as it was not started or has lost a
     * task; or, as an older version may have left it, with assignments of different attempts, whose tasks would wait
     * for each other in vain. Neither kind can complete or save a checkpoint; the gang restarts as a whole.
     */
    public void stopIncompleteGangAttempt(Job job) {
        if (job.spec().isGang() && !job.assignments().isEmpty() && !job.allTasksAssignedInOneAttempt()) {
            long now = environment.now();
            List.copyOf(job.assignments().values()).forEach(assignment -> cluster.requestStop(assignment, 0, now));
        }
    }

    // ---- exit

    @Override
    public void taskExited(Machine machine, TaskAssignment assignment, Heartbeat.TaskStatus status) {
        Job job = assignment.job();
        if (!job.hasUnsettled(assignment)) {
            return; // settled with its gang
        }
        long now = environment.now();
        boolean completed =
                status.exitReason() == ExitReason.COMPLETED && !job.spec().isService();
        List<TaskAssignment> others = completed && job.spec().isGang() ? completeGang(job, assignment) : List.of();
        machine.agent().addNonDurableOutcome(status.attemptId());
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
            machine.agent().markOutcomeDurable(status.attemptId());
            others.forEach(this::onOutcomeDurable);
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
     * Completes all tasks of a gang of which one has completed, including a task whose machine is gone before it
     * reports. This is stored at once, in the record of the job's completion, so that no leader restarts a part of the
     * gang.
     *
     * @param first the assignment of the completed task, which the caller settles, or null if there is none
     * @return the settled assignments, whose machines may not clear them before the job's completion is durable
     */
    public List<TaskAssignment> completeGang(Job job, TaskAssignment first) {
        List<TaskAssignment> others = new ArrayList<>(job.assignments().values());
        others.remove(first);
        for (TaskAssignment other : others) {
            cluster.unassign(other, true);
            Machine machine = cluster.getOrAddMachine(other.machine());
            machine.agent().addNonDurableOutcome(other.attemptId());
            markIdleIfEmpty(machine);
        }
        for (int index = 0; index < job.spec().taskCount(); index++) {
            if (first == null || index != first.index()) {
                job.markTaskCompleted(index);
            }
        }
        return others;
    }

    /** Lets the machine of a task that completed with its gang clear the task, as its outcome is durable. */
    private void onOutcomeDurable(TaskAssignment assignment) {
        Machine machine = cluster.machines().get(assignment.machine());
        if (machine != null) {
            machine.agent().markOutcomeDurable(assignment.attemptId());
        }
    }

    @Override
    public void taskProvenGone(TaskAssignment assignment, SettlementProof proof) {
        if (assignment.job().hasUnsettled(assignment)) {
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
        markIdleIfEmpty(cluster.getOrAddMachine(assignment.machine()));
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
        onSchedulingInputChange.run();
    }

    private void markIdleIfEmpty(Machine machine) {
        if (machine.assignments().isEmpty()) {
            machine.instance().markIdleSince(environment.now());
        }
    }
}
