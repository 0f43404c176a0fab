package stileferry.heartbeat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.leadership.LeaderElection;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.WorkerCommand;
import stileferry.protocol.WorkerMessages;

/**
 * The workers in one term: takes their reports, decides what is proven by them, and answers with what they shall do.
 * Silence proves nothing; only an exit, a higher session, a lapsed lease or a deleted machine does.
 */
public final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger("fleet");

    private final ClusterState cluster;
    private final Environment environment;
    private final LeaderElection leadership;
    private final long term;
    private final TaskObserver events;
    private final LastHeartbeatJournal silences;
    private final EventLoopLag eventLoopLag;
    private final long leaseMs;
    private final byte[] nothing;
    private final FailureDetector failureDetector;
    private final CommandDispatcher commandDispatcher;

    public HeartbeatHandler(
            ClusterState cluster,
            Environment environment,
            LeaderElection leadership,
            long term,
            TaskObserver events,
            LastHeartbeatJournal silences,
            EventLoopLag eventLoopLag) {
        this.silences = silences;
        this.eventLoopLag = eventLoopLag;
        this.cluster = cluster;
        this.environment = environment;
        this.leadership = leadership;
        this.term = term;
        this.events = events;
        this.leaseMs = Math.round(cluster.settings().workers().leaseS() * 1000);
        this.nothing = MessageCodec.encode(WorkerMessages.heartbeatResponse(term, List.of()));
        this.failureDetector = new FailureDetector(cluster, environment, leadership, term, events, silences);
        this.commandDispatcher = new CommandDispatcher(
                cluster,
                environment,
                leadership,
                term,
                eventLoopLag,
                (machine, report) -> take(machine, report, false));
    }

    public void close() {
        commandDispatcher.close();
    }

    /** What silent machines are judged by. */
    public FailureDetector failureDetector() {
        return failureDetector;
    }

    /** What is sent to machines without waiting for their reports. */
    public CommandDispatcher commandDispatcher() {
        return commandDispatcher;
    }

    /** Takes a report and replies with the answer's body; null when this report must not be answered with 200. */
    public void receive(Heartbeat heartbeat, Consumer<byte[]> reply) {
        Machine machine = mayAnswer(heartbeat) ? cluster.machine(heartbeat.machine()) : null;
        if (machine == null) {
            reply.accept(null);
        } else if (machine.agent().lastHeartbeatRecord() != null) {
            machine.agent().markHeard(environment.now()); // it is there, so it is not given up, however long this takes
            silences.heard(
                    machine,
                    () -> reply.accept(mayAnswer(heartbeat) ? answer(machine, heartbeat) : null),
                    () -> reply.accept(null));
        } else {
            reply.accept(answer(machine, heartbeat));
        }
    }

    private boolean mayAnswer(Heartbeat heartbeat) {
        if (!leadership.mayRenewWorkerLeases()) {
            return false; // another leader may have confirmed cancellations that are unknown here
        }
        if (cluster.deletedMachines().contains(heartbeat.machine())) {
            return false; // sent before the machine was deleted
        }
        Machine machine = cluster.machine(heartbeat.machine());
        if (machine.instance().terminating()
                || heartbeat.incarnation() <= machine.agent().expiredIncarnation()) {
            return false; // its lease may not be renewed: what was on it is counted as gone, or about to be
        }
        // a late copy otherwise: a worker has one report in flight, so nobody waits for the answer
        return heartbeat.incarnation() >= machine.agent().incarnation()
                && (heartbeat.incarnation() != machine.agent().heartbeatIncarnation()
                        || heartbeat.sequence() > machine.agent().heartbeatSequence());
    }

    private byte[] answer(Machine machine, Heartbeat heartbeat) {
        machine.agent().recordHeartbeatNumber(heartbeat);
        if (machine.unchangedSince(heartbeat)
                && heartbeat.sequence() > machine.agent().sequence()) {
            machine.agent().recordUnchanged(heartbeat, environment.now());
            return nothing;
        }
        doubt(machine, heartbeat);
        boolean fresh = take(machine, heartbeat, true);
        machine.agent().markAnswered(environment.now());
        List<WorkerCommand> signals = fresh ? commandDispatcher.signals(machine, true) : List.of();
        machine.agent().setStartsInLastResponse(keys(signals));
        return signals.isEmpty() ? nothing : MessageCodec.encode(WorkerMessages.heartbeatResponse(term, signals));
    }

    /**
     * Our answers may not reach a worker whose reports reach us. It shows when a session ends although we answered
     * within its lease, or when starts in an answer were neither carried out nor refused. Such a machine gets no work
     * until it has answered something that we sent.
     */
    private void doubt(Machine machine, Heartbeat heartbeat) {
        if (!machine.acknowledgedTerm(term) || machine.agent().unreachableSince() != 0) {
            return;
        }
        boolean lapsedUnderAnswers = heartbeat.incarnation() > machine.agent().incarnation()
                && machine.agent().incarnation() > 0
                && machine.agent().lastAnsweredAt() != 0
                && environment.now() - machine.agent().lastAnsweredAt() < leaseMs;
        boolean unheeded = heartbeat.incarnation() == machine.agent().incarnation()
                && heartbeat.sequence() > machine.agent().sequence()
                && !machine.agent().startsInLastResponse().isEmpty()
                && unheeded(machine, heartbeat);
        if (lapsedUnderAnswers || unheeded) {
            LOG.info(
                    "machine {} reports but seems not to hear: {}",
                    machine.name(),
                    lapsedUnderAnswers ? "its lease lapsed while it was answered" : "it left starts alone");
            machine.agent().markUnreachable(environment.now());
        }
    }

    private static boolean unheeded(Machine machine, Heartbeat heartbeat) {
        Set<String> told = new HashSet<>();
        heartbeat.tasks().forEach(t -> told.add(t.attemptId()));
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (assignment.phase() == null
                    && machine.agent().startsInLastResponse().contains(assignment.attemptId())
                    && !told.contains(assignment.attemptId())) {
                return true;
            }
        }
        return false;
    }

    private static Set<String> keys(List<WorkerCommand> signals) {
        Set<String> keys = Set.of();
        for (WorkerCommand command : signals) {
            if (command.kind() == WorkerCommand.Kind.RUN) {
                keys = keys.isEmpty() ? new HashSet<>() : keys;
                keys.add(command.attemptId());
            }
        }
        return keys;
    }

    /** Answers a report before the claims have been read: the lease is renewed, and cancelled jobs are stopped. */
    public byte[] renewBeforeRecovery(Heartbeat heartbeat) {
        Machine machine = cluster.machine(heartbeat.machine());
        machine.setAddress(heartbeat.address());
        machine.agent().markAnswered(environment.now());
        List<WorkerCommand> stops = leadership.cancellations().killCommandsFor(heartbeat);
        return stops.isEmpty() ? nothing : MessageCodec.encode(WorkerMessages.heartbeatResponse(term, stops));
    }

    /** Takes in what a worker says. False when something newer was heard before. */
    private boolean take(Machine machine, Heartbeat heartbeat, boolean inOrder) {
        if (heartbeat.incarnation() < machine.agent().incarnation()
                || heartbeat.incarnation() == machine.agent().incarnation()
                        && heartbeat.sequence() <= machine.agent().sequence()
                || heartbeat.incarnation() <= machine.agent().expiredIncarnation()) {
            return false;
        }
        long now = environment.now();
        takeSession(machine, heartbeat, now);
        takeTerm(machine, heartbeat, now);
        takeProperties(machine, heartbeat, now);
        if (heartbeat.reclaimNoticeS() >= 0 && machine.instance().reclaimNoticeS() < 0) {
            LOG.info("machine {} will be taken in {} s", machine.name(), heartbeat.reclaimNoticeS());
            machine.instance().receiveReclaimNotice(heartbeat.reclaimNoticeS());
            leave(machine, now);
        }
        takeTasks(machine, heartbeat, inOrder, now);
        return true;
    }

    private void takeSession(Machine machine, Heartbeat heartbeat, long now) {
        boolean newSession = heartbeat.incarnation() > machine.agent().incarnation();
        if (!machine.agent().heardThisTerm() || newSession) {
            machine.instance().markIdleSince(now);
            events.changed();
        }
        if (!machine.agent().heardThisTerm() && machine.instance().booting()) {
            LOG.info(
                    "machine {} is up in {} after {} s",
                    machine.name(),
                    heartbeat.zone(),
                    (now - machine.instance().requestedAt()) / 1000);
        }
        if (newSession) {
            machine.agent().beginIncarnation(now);
        }
    }

    private void takeTerm(Machine machine, Heartbeat heartbeat, long now) {
        if (!machine.agent().heardThisTerm() && heartbeat.fencingToken() < term) {
            // until it shows our term: this may be a late copy of what a dead machine said
            machine.agent().markUnreachable(now);
            if (!eventLoopLag.overloaded()) {
                commandDispatcher.ask(machine); // its next report will show it too, but work may be waiting
            }
        } else if (machine.agent().fencingToken() < term && heartbeat.fencingToken() >= term) {
            machine.agent().markReachable();
            events.changed();
        }
    }

    private void takeProperties(Machine machine, Heartbeat heartbeat, long now) {
        machine.agent().recordStatus(heartbeat, now);
        machine.instance().setBooting(false);
        machine.setAddress(heartbeat.address());
        machine.setTypeName(heartbeat.machineType());
        machine.setType(cluster.machineType(heartbeat.machineType()));
        machine.setSpot(heartbeat.spot());
        cluster.setZone(machine, heartbeat.zone());
        cluster.freeCapacity().update(machine);
    }

    private void takeTasks(Machine machine, Heartbeat heartbeat, boolean inOrder, long now) {
        machine.agent().setLastHeartbeat(heartbeat);
        Map<String, Heartbeat.TaskStatus> reported = claimedTasks(machine, heartbeat);
        machine.agent()
                .setReconciled(heartbeat.tasks().size() == machine.assignments().size()
                        && reported.size() == machine.assignments().size());
        for (TaskAssignment assignment : List.copyOf(machine.assignments().values())) {
            Heartbeat.TaskStatus status = reported.get(assignment.taskId());
            if (assignment.incarnation() < heartbeat.incarnation()) {
                events.gone(assignment, "session");
            } else if (status != null) {
                machine.agent()
                        .setReconciled(machine.agent().reconciled()
                                & (status.phase() != Heartbeat.TaskPhase.EXITED && !assignment.stopping()));
                see(machine, assignment, status, now);
            } else if (inOrder && certainlyNotStarted(machine, assignment)) {
                events.gone(assignment, "never started");
            }
        }
    }

    /** The reported tasks that claims stand for, by name; all others that have not exited are strays, to be stopped. */
    private Map<String, Heartbeat.TaskStatus> claimedTasks(Machine machine, Heartbeat heartbeat) {
        machine.agent().setHasOrphanTasks(false);
        Map<String, Heartbeat.TaskStatus> claimed = new HashMap<>();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            TaskAssignment assignment = machine.assignments().get(status.taskId());
            if (assignment != null
                    && assignment.durable()
                    && assignment.attempt() == status.attempt()
                    && assignment.incarnation() == heartbeat.incarnation()) {
                claimed.put(status.taskId(), status);
            } else if (status.phase() != Heartbeat.TaskPhase.EXITED) {
                machine.agent().setHasOrphanTasks(true);
                commandDispatcher.sendSoon(machine);
            }
        }
        return claimed;
    }

    /**
     * A stopped task that the report in turn does not name. A worker has one report in flight: every answer with a
     * start in it was carried out or dropped before this report, no direct start is unanswered, and older leaders are
     * not obeyed any more.
     */
    private boolean certainlyNotStarted(Machine machine, TaskAssignment assignment) {
        return assignment.stopping()
                && assignment.durable()
                && assignment.phase() == null
                && machine.acknowledgedTerm(term)
                && !machine.agent().unansweredStarts().containsKey(assignment.attemptId());
    }

    private void see(Machine machine, TaskAssignment assignment, Heartbeat.TaskStatus status, long now) {
        if (assignment.phase() != status.phase()) {
            assignment.recordPhase(status.phase());
            switch (status.phase()) {
                case WAITING_FOR_GANG ->
                    machine.cacheImage(
                            assignment.job().spec().image(),
                            assignment.job().spec().imageGb());
                case RUNNING, SAVING_CHECKPOINT -> running(machine, assignment, now);
                default -> {}
            }
            events.phaseChanged(assignment);
        }
        if (status.phase() == Heartbeat.TaskPhase.EXITED) {
            events.exited(machine, assignment, status);
        }
    }

    private void running(Machine machine, TaskAssignment assignment, long now) {
        if (assignment.runningSince() != 0) {
            return;
        }
        assignment.markRunning(now);
        LOG.debug(
                "{} of {} runs on {} in {}, ordered {} ms ago",
                assignment.taskId(),
                assignment.job().spec().jobClass(),
                machine.name(),
                machine.zone(),
                assignment.assignedAt() == 0 ? -1 : now - assignment.assignedAt());
        assignment.job().markStarted();
        machine.cacheImage(
                assignment.job().spec().image(), assignment.job().spec().imageGb());
        if (assignment.job().spec().gang()
                && assignment.job().runningCount() == assignment.job().spec().taskCount()) {
            events.gangRunning(assignment.job());
        }
    }

    /** What a notice asks for: save what can be saved, and move what has to run elsewhere. */
    private void leave(Machine machine, long now) {
        for (TaskAssignment assignment : List.copyOf(machine.assignments().values())) {
            if (assignment.job().spec().gang()) {
                if (assignment.job().spec().estimateS() - assignment.runtimeMs(now) / 1000.0
                        > machine.instance().reclaimNoticeS()) {
                    events.stopTaskOrGang(
                            assignment,
                            assignment.job().spec().checkpointSaveS()
                                            <= machine.instance().reclaimNoticeS()
                                    ? assignment.job().spec().checkpointSaveS()
                                    : 0);
                }
            } else if (assignment.job().spec().service()) {
                cluster.requestStop(assignment, 0, now);
            } else if (assignment.job().spec().checkpointIntervalS() > 0) {
                cluster.requestStop(assignment, assignment.job().spec().checkpointSaveS(), now);
            } else if (assignment.job().spec().estimateS() - assignment.runtimeMs(now) / 1000.0
                    > machine.instance().reclaimNoticeS()) {
                cluster.requestStop(assignment, 0, now); // it would be lost all the same, only later
            }
        }
        commandDispatcher.sendSoon(machine);
        events.changed();
    }

    /** The cloud has confirmed that a machine is gone with all that was on it. */
    public void machineDeleted(Machine machine) {
        for (TaskAssignment assignment : List.copyOf(machine.assignments().values())) {
            events.gone(assignment, "machine deleted");
        }
        cluster.forget(machine);
        events.changed();
    }
}
