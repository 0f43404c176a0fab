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
import stileferry.cluster.RestartBackOff;
import stileferry.cluster.TaskAssignment;
import stileferry.heartbeat.HeartbeatHandler;
import stileferry.heartbeat.TaskObserver;
import stileferry.leadership.TermSequence;
import stileferry.protocol.Environment;
import stileferry.protocol.ExitReason;
import stileferry.protocol.Heartbeat;
import stileferry.storage.CommitQueue;

/**
 * The life of tasks in one term, from their claim over start and stop to the proof that they are gone. A gang's tasks
 * live and end together.
 */
public final class TaskLifecycle implements TaskObserver {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    private static final double SLOWDOWN_THRESHOLD_S = 60;

    private final ClusterState cluster;
    private final Environment environment;
    private final CommitQueue ledger;
    private final TermSequence numbers;
    private final HeartbeatHandler heartbeatHandler;
    private final JobCompletion jobCompletion;
    private final Runnable changed;
    private final GangMetrics gangMetrics = new GangMetrics();
    private final long roundMs;

    /**
     * @param createFleet makes the fleet, which tells this lifecycle of its tasks
     * @param createJobEnds makes the ends of jobs, which stop their tasks here
     * @param changed run when something changed that a pass may use
     */
    public TaskLifecycle(
            ClusterState cluster,
            Environment environment,
            CommitQueue ledger,
            TermSequence numbers,
            Function<TaskObserver, HeartbeatHandler> createFleet,
            Function<TaskLifecycle, JobCompletion> createJobEnds,
            Runnable changed) {
        this.cluster = cluster;
        this.environment = environment;
        this.ledger = ledger;
        this.numbers = numbers;
        this.heartbeatHandler = createFleet.apply(this);
        this.jobCompletion = createJobEnds.apply(this);
        this.changed = changed;
        this.roundMs = cluster.settings().workers().heartbeatRoundMs();
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

    /** Stops a task whose job was cancelled. */
    public void stopCancelled(TaskAssignment claim) {
        stopOne(claim, 0);
    }

    /** Starts the next waiting task of a job, or all tasks of a gang, on these machines. */
    public void start(Job job, List<Machine> machines, boolean overdue) {
        long now = environment.now();
        int index = job.nextPendingTask(now);
        // The tasks of a gang find each other by their attempt, so it is the same for all of them.
        long attempt = numbers.next();
        GangAttempt gangAttempt = null;
        if (job.spec().gang()) {
            gangAttempt = new GangAttempt(machines.size());
            gangMetrics.attempted();
        }
        for (Machine machine : machines) {
            TaskAssignment claim = new TaskAssignment(
                    job, index, attempt, machine.name(), machine.agent().incarnation(), now);
            claim.setStartedOverdue(overdue);
            claim.setGangAttempt(gangAttempt);
            cluster.assign(claim);
            ledger.appendEvent(TaskEvents.claimed(claim), () -> claimDurable(claim, machine));
            index = job.completedOrAssigned().nextClearBit(index);
        }
    }

    private void claimDurable(TaskAssignment claim, Machine machine) {
        claim.setDurable(true);
        if (claim.gangAttempt() != null) {
            if (claim.gangAttempt().assignmentDurable()) {
                startWhole(claim.job(), claim.gangAttempt());
            }
        } else if (mayStart(claim)) {
            heartbeatHandler.commandDispatcher().sendSoon(machine);
        }
    }

    private void startWhole(Job job, GangAttempt attempt) {
        for (TaskAssignment claim : job.assignments().values()) {
            if (claim.gangAttempt() == attempt && mayStart(claim)) {
                heartbeatHandler.commandDispatcher().sendSoon(cluster.machine(claim.machine()));
            }
        }
    }

    private static boolean mayStart(TaskAssignment claim) {
        return claim.job().assignments().get(claim.index()) == claim
                && !claim.stopping()
                && !claim.job().cancelled();
    }

    /**
     * Stops a claimed task. A gang is stopped whole: its tasks can save only together, and one that is left alone loses
     * what it did.
     */
    public void stop(TaskAssignment claim, double graceS) {
        if (claim.job().spec().gang()) {
            double together = graceS > 0 && !allHear(claim.job()) ? 0 : graceS;
            stopOne(claim, together);
            stopOthers(claim, together);
        } else {
            stopOne(claim, graceS);
        }
    }

    /**
     * Whether all tasks of a gang can be expected to hear a stop in time. If one does not, the others can't save;
     * told to, they would only wait for it, and what they did since their last checkpoint is lost all the same.
     */
    private boolean allHear(Job gang) {
        for (TaskAssignment claim : gang.assignments().values()) {
            if (!heartbeatHandler.failureDetector().reachable(cluster.machine(claim.machine()))) {
                LOG.info(
                        "gang {} is stopped without saving: {} may not hear it",
                        gang.spec().id(),
                        claim.machine());
                return false;
            }
        }
        return true;
    }

    /** One that its machine has never heard of is simply not there. */
    private void stopOne(TaskAssignment claim, double graceS) {
        if (claim.job().assignments().get(claim.index()) != claim) {
            return; // ended with its gang; counted out twice it would let its team beyond its limit
        }
        if (claim.startsSent() == 0) {
            LOG.debug("{} is not on {}: it was never sent", claim.taskId(), claim.machine());
            settle(claim, false, null);
            return;
        }
        cluster.requestStop(claim, graceS, environment.now());
        heartbeatHandler.commandDispatcher().sendSoon(cluster.machine(claim.machine()));
    }

    @Override
    public void exited(Machine machine, TaskAssignment claim, Heartbeat.TaskStatus status) {
        Job job = claim.job();
        if (job.assignments().get(claim.index()) != claim) {
            return; // ended with its gang
        }
        long now = environment.now();
        boolean done =
                status.exitReason() == ExitReason.COMPLETED && !job.spec().service();
        List<TaskAssignment> others = done && job.spec().gang() ? completeGang(job, claim) : List.of();
        machine.agent().outcomesNotDurable().add(status.attemptId());
        job.setStarted(job.started() | (done || status.exitReason() == ExitReason.FAILED));
        logExit(machine, claim, status, now);
        if (done) {
            succeeded(machine, claim, now);
        } else {
            failed(machine, claim, status, now);
        }
        settle(claim, done, () -> {
            machine.agent().outcomesNotDurable().remove(status.attemptId());
            others.forEach(this::mayClear);
        });
    }

    private void logExit(Machine machine, TaskAssignment claim, Heartbeat.TaskStatus status, long now) {
        if (claim.assignedAt() > 0 && claim.runningSince() > 0) {
            LOG.debug(
                    "{} of {} exited on {}: {}, ordered {} ms after its job, running {} ms later, for {} ms",
                    claim.taskId(),
                    claim.job().spec().jobClass(),
                    machine.name(),
                    status.exitReason(),
                    claim.assignedAt()
                            - now
                            + environment.timeOfDay()
                            - claim.job().acceptedAt(),
                    claim.runningSince() - claim.assignedAt(),
                    now - claim.runningSince());
        }
    }

    private static void succeeded(Machine machine, TaskAssignment claim, long now) {
        if (claim.assignedAt() > 0 && claim.runningSince() > 0) {
            machine.recordSlowdown(
                    (now - claim.runningSince()) / 1000.0,
                    (claim.runningSince() - claim.assignedAt()) / 1000.0,
                    SLOWDOWN_THRESHOLD_S);
        }
        claim.job().countSuccess();
        claim.job().retries().remove(claim.index());
        machine.failuresByJob().clear();
    }

    /** The outcome of a task that ended with its gang is durable. */
    private void mayClear(TaskAssignment claim) {
        Machine machine = cluster.machines().get(claim.machine());
        if (machine != null) {
            machine.agent().outcomesNotDurable().remove(claim.attemptId());
        }
    }

    private void failed(Machine machine, TaskAssignment claim, Heartbeat.TaskStatus status, long now) {
        Job job = claim.job();
        switch (status.exitReason()) {
            case FAILED -> {
                RestartBackOff retry = job.retries().computeIfAbsent(claim.index(), i -> new RestartBackOff());
                retry.backOff(now, 1000, 6);
                job.failedMachines().add(machine.name());
                machine.failuresByJob().merge(job.spec().id(), 1, Integer::sum);
                judge(machine);
            }
            case INSUFFICIENT_RESOURCES, CONFLICTING_ATTEMPT ->
                machine.instance().cordonUntil(now + roundMs);
            case UNKNOWN_JOB -> {
                RestartBackOff retry = job.retries().computeIfAbsent(claim.index(), i -> new RestartBackOff());
                retry.backOff(now, 500, 7);
            }
            default -> {}
        }
        if (job.spec().gang()) {
            gangMetrics.exited(claim, status);
        }
        stopGang(claim, status.checkpointSaved());
    }

    /**
     * One task of a gang that does not run stops and requeues them all. If it had saved, so do the others. Else none of
     * them can: told to save they would only wait for the missing one, and hold their machines until they give up.
     */
    private void stopGang(TaskAssignment claim, boolean saved) {
        if (claim.job().spec().gang()) {
            stopOthers(claim, saved ? claim.job().spec().checkpointSaveS() : 0);
        }
    }

    private void stopOthers(TaskAssignment claim, double graceS) {
        for (TaskAssignment other : List.copyOf(claim.job().assignments().values())) {
            if (other != claim && (!other.stopping() || graceS < other.stopGraceS())) {
                stopOne(other, graceS);
            }
        }
    }

    /**
     * The tasks of a gang complete together: when one is done, all are, also one whose machine is gone before it tells.
     * Their end is stored at once, in the record of the job's end, so that no leader starts a part of the gang again.
     * Returns the claims that have ended so, which their machines may not clear before that is durable.
     */
    public List<TaskAssignment> completeGang(Job job, TaskAssignment first) {
        List<TaskAssignment> others = new ArrayList<>(job.assignments().values());
        others.remove(first);
        for (TaskAssignment claim : others) {
            cluster.unassign(claim, true);
            Machine machine = cluster.machine(claim.machine());
            machine.agent().outcomesNotDurable().add(claim.attemptId());
            machine.instance()
                    .markIdleSince(
                            machine.assignments().isEmpty()
                                    ? environment.now()
                                    : machine.instance().idleSince());
        }
        for (int i = 0; i < job.spec().taskCount(); i++) {
            if (first == null || i != first.index()) {
                job.markCompleted(i);
            }
        }
        return others;
    }

    @Override
    public void phaseChanged(TaskAssignment claim) {
        jobCompletion.confirm(claim.job());
    }

    @Override
    public void gangRunning(Job job) {
        gangMetrics.started();
        LOG.debug(
                "all {} tasks of {} of {} run",
                job.spec().taskCount(),
                job.spec().id(),
                job.spec().jobClass());
    }

    @Override
    public void stopTaskOrGang(TaskAssignment claim, double graceS) {
        stop(claim, graceS);
    }

    /**
     * An attempt of a gang that was read with fewer claims than tasks was not started, or has lost a task; and an older
     * version may have left claims of different attempts, whose tasks would wait for each other in vain. Neither can be
     * completed, nor can its tasks save, so they stop at once and the gang starts again whole.
     */
    public void stopIncompleteGangAttempt(Job job) {
        if (job.spec().gang() && !job.assignments().isEmpty() && !job.assignmentsFormOneAttempt()) {
            List.copyOf(job.assignments().values()).forEach(claim -> cluster.requestStop(claim, 0, environment.now()));
        }
    }

    /**
     * A machine is faulty when tasks of two jobs failed on it since one succeeded, or one job failed on it again and
     * again that succeeds elsewhere. A job that fails everywhere speaks against no machine.
     */
    private void judge(Machine machine) {
        int weight = 0;
        for (var failure : machine.failuresByJob().entrySet()) {
            Job job = cluster.jobs().get(failure.getKey());
            if (job == null || job.failedMachines().size() < 3) {
                weight += job != null && job.successes() > 0 ? Math.min(2, failure.getValue()) : 1;
            }
        }
        if (weight >= 2 && !machine.instance().quarantined()) {
            LOG.info("machine {} fails its tasks and is taken out of use", machine.name());
            machine.instance().setQuarantined(true);
            for (TaskAssignment claim : List.copyOf(machine.assignments().values())) {
                stop(claim, claim.job().spec().checkpointSaveS());
            }
        }
    }

    @Override
    public void gone(TaskAssignment claim, String proof) {
        if (claim.job().assignments().get(claim.index()) == claim) {
            LOG.debug("{} is not on {} any more: {}", claim.taskId(), claim.machine(), proof);
            settle(claim, false, null);
            if (claim.job().spec().gang()) {
                gangMetrics.gone(claim);
            }
            stopGang(claim, false);
        }
    }

    private void settle(TaskAssignment claim, boolean done, Runnable onDurable) {
        Job job = claim.job();
        Machine machine = cluster.machine(claim.machine());
        cluster.unassign(claim, done);
        if (machine.assignments().isEmpty()) {
            machine.instance().markIdleSince(environment.now());
        }
        if (job.unfinishedCount() == 0 && !job.cancelled()) {
            jobCompletion.end(job, "done", onDurable);
        } else if (job.cancelled() && job.assignments().isEmpty()) {
            jobCompletion.end(job, "cancelled", onDurable);
        } else {
            ledger.appendEvent(done ? TaskEvents.done(job, claim.index()) : TaskEvents.freed(claim), onDurable);
            jobCompletion.confirm(job);
        }
        changed.run();
    }
}
