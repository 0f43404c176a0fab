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
import stileferry.protocol.Messages;
import stileferry.protocol.Messages.WorkerCommand;

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
    private final FailureDetector failures;
    private final CommandDispatcher commands;

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
        this.nothing = MessageCodec.encode(Messages.heartbeatResponse(term, List.of()));
        this.failures = new FailureDetector(cluster, environment, leadership, term, events, silences);
        this.commands = new CommandDispatcher(
                cluster,
                environment,
                leadership,
                term,
                eventLoopLag,
                (machine, report) -> take(machine, report, false));
    }

    public void close() {
        commands.close();
    }

    /** What silent machines are judged by. */
    public FailureDetector failures() {
        return failures;
    }

    /** What is sent to machines without waiting for their reports. */
    public CommandDispatcher commands() {
        return commands;
    }

    /** Takes a report and replies with the answer's body; null when this report must not be answered with 200. */
    public void report(Heartbeat r, Consumer<byte[]> reply) {
        Machine m = mayAnswer(r) ? cluster.machine(r.machine()) : null;
        if (m == null) {
            reply.accept(null);
        } else if (m.agent().lastHeartbeatRecord() != null) {
            m.agent().setLastHeardAt(environment.now()); // it is there, so it is not given up, however long this takes
            silences.heard(m, () -> reply.accept(mayAnswer(r) ? answer(m, r) : null), () -> reply.accept(null));
        } else {
            reply.accept(answer(m, r));
        }
    }

    private boolean mayAnswer(Heartbeat r) {
        if (!leadership.mayRenew()) {
            return false; // another leader may have confirmed cancellations that are unknown here
        }
        if (cluster.deletedMachines().contains(r.machine())) {
            return false; // sent before the machine was deleted
        }
        Machine m = cluster.machine(r.machine());
        if (m.instance().terminating() || r.incarnation() <= m.agent().expiredIncarnation()) {
            return false; // its lease may not be renewed: what was on it is counted as gone, or about to be
        }
        // a late copy otherwise: a worker has one report in flight, so nobody waits for the answer
        return r.incarnation() >= m.agent().incarnation()
                && (r.incarnation() != m.agent().heartbeatIncarnation()
                        || r.sequence() > m.agent().heartbeatSequence());
    }

    private byte[] answer(Machine m, Heartbeat r) {
        m.agent().setHeartbeatIncarnation(r.incarnation());
        m.agent().setHeartbeatSequence(r.sequence());
        if (m.unchangedSince(r) && r.sequence() > m.agent().sequence()) {
            m.agent().setSequence(r.sequence());
            m.agent().setLastHeartbeat(r);
            m.agent().setLastHeardAt(environment.now());
            m.agent().setLastAnsweredAt(m.agent().lastHeardAt());
            m.agent().setStartsInLastResponse(Set.of());
            return nothing;
        }
        doubt(m, r);
        boolean fresh = take(m, r, true);
        m.agent().setLastAnsweredAt(environment.now());
        List<WorkerCommand> signals = fresh ? commands.signals(m, true) : List.of();
        m.agent().setStartsInLastResponse(keys(signals));
        return signals.isEmpty() ? nothing : MessageCodec.encode(Messages.heartbeatResponse(term, signals));
    }

    /**
     * Our answers may not reach a worker whose reports reach us. It shows when a session ends although we answered
     * within its lease, or when starts in an answer were neither carried out nor refused. Such a machine gets no work
     * until it has answered something that we sent.
     */
    private void doubt(Machine m, Heartbeat r) {
        if (!m.acknowledgedTerm(term) || m.agent().unreachableSince() != 0) {
            return;
        }
        boolean lapsedUnderAnswers = r.incarnation() > m.agent().incarnation()
                && m.agent().incarnation() > 0
                && m.agent().lastAnsweredAt() != 0
                && environment.now() - m.agent().lastAnsweredAt() < leaseMs;
        boolean unheeded = r.incarnation() == m.agent().incarnation()
                && r.sequence() > m.agent().sequence()
                && !m.agent().startsInLastResponse().isEmpty()
                && unheeded(m, r);
        if (lapsedUnderAnswers || unheeded) {
            LOG.info(
                    "machine {} reports but seems not to hear: {}",
                    m.name(),
                    lapsedUnderAnswers ? "its lease lapsed while it was answered" : "it left starts alone");
            m.agent().setUnreachableSince(environment.now());
        }
    }

    private static boolean unheeded(Machine m, Heartbeat r) {
        Set<String> told = new HashSet<>();
        r.tasks().forEach(t -> told.add(t.attemptId()));
        for (TaskAssignment c : m.assignments().values()) {
            if (c.phase() == null
                    && m.agent().startsInLastResponse().contains(c.attemptId())
                    && !told.contains(c.attemptId())) {
                return true;
            }
        }
        return false;
    }

    private static Set<String> keys(List<WorkerCommand> signals) {
        Set<String> keys = Set.of();
        for (WorkerCommand s : signals) {
            if (s.kind() == WorkerCommand.Kind.RUN) {
                keys = keys.isEmpty() ? new HashSet<>() : keys;
                keys.add(s.attemptId());
            }
        }
        return keys;
    }

    /** Answers a report before the claims have been read: the lease is renewed, and cancelled jobs are stopped. */
    public byte[] hold(Heartbeat r) {
        Machine m = cluster.machine(r.machine());
        m.setAddress(r.address());
        m.agent().setLastAnsweredAt(environment.now());
        List<WorkerCommand> stops = leadership.cancellations().stops(r);
        return stops.isEmpty() ? nothing : MessageCodec.encode(Messages.heartbeatResponse(term, stops));
    }

    /** Takes in what a worker says. False when something newer was heard before. */
    private boolean take(Machine m, Heartbeat r, boolean inOrder) {
        if (r.incarnation() < m.agent().incarnation()
                || r.incarnation() == m.agent().incarnation()
                        && r.sequence() <= m.agent().sequence()
                || r.incarnation() <= m.agent().expiredIncarnation()) {
            return false;
        }
        long now = environment.now();
        takeSession(m, r, now);
        takeTerm(m, r, now);
        takeProperties(m, r, now);
        if (r.reclaimNoticeS() >= 0 && m.instance().reclaimNoticeS() < 0) {
            LOG.info("machine {} will be taken in {} s", m.name(), r.reclaimNoticeS());
            m.instance().setReclaimNoticeS(r.reclaimNoticeS());
            leave(m, now);
        }
        takeTasks(m, r, inOrder, now);
        return true;
    }

    private void takeSession(Machine m, Heartbeat r, long now) {
        boolean newSession = r.incarnation() > m.agent().incarnation();
        if (!m.agent().heardThisTerm() || newSession) {
            m.instance().setIdleSince(now);
            events.changed();
        }
        if (!m.agent().heardThisTerm() && m.instance().booting()) {
            LOG.info(
                    "machine {} is up in {} after {} s",
                    m.name(),
                    r.zone(),
                    (now - m.instance().requestedAt()) / 1000);
        }
        if (newSession) {
            m.agent().setIncarnationSeenAt(now);
            m.agent().unansweredStarts().clear();
            m.agent().outcomesNotDurable().clear();
        }
    }

    private void takeTerm(Machine m, Heartbeat r, long now) {
        if (!m.agent().heardThisTerm() && r.fencingToken() < term) {
            // until it shows our term: this may be a late copy of what a dead machine said
            m.agent().setUnreachableSince(now);
            if (!eventLoopLag.behind()) {
                commands.ask(m); // its next report will show it too, but work may be waiting
            }
        } else if (m.agent().fencingToken() < term && r.fencingToken() >= term) {
            m.agent().setUnreachableSince(0);
            events.changed();
        }
    }

    private void takeProperties(Machine m, Heartbeat r, long now) {
        m.agent().setHeardThisTerm(true);
        m.instance().setBooting(false);
        m.agent().setLastHeardAt(now);
        m.agent().setIncarnation(r.incarnation());
        m.agent().setSequence(r.sequence());
        m.agent().setFencingToken(r.fencingToken());
        m.setAddress(r.address());
        m.setTypeName(r.machineType());
        m.setType(cluster.machineType(r.machineType()));
        m.setSpot(r.spot());
        cluster.setZone(m, r.zone());
        cluster.freeCapacity().update(m);
    }

    private void takeTasks(Machine m, Heartbeat r, boolean inOrder, long now) {
        m.agent().setLastHeartbeat(r);
        Map<String, Heartbeat.TaskStatus> reported = claimedTasks(m, r);
        m.agent()
                .setReconciled(r.tasks().size() == m.assignments().size()
                        && reported.size() == m.assignments().size());
        for (TaskAssignment c : List.copyOf(m.assignments().values())) {
            Heartbeat.TaskStatus t = reported.get(c.taskId());
            if (c.incarnation() < r.incarnation()) {
                events.gone(c, "session");
            } else if (t != null) {
                m.agent()
                        .setReconciled(
                                m.agent().reconciled() & (t.phase() != Heartbeat.TaskPhase.EXITED && !c.stopping()));
                see(m, c, t, now);
            } else if (inOrder && certainlyNotStarted(m, c)) {
                events.gone(c, "never started");
            }
        }
    }

    /** The reported tasks that claims stand for, by name; all others that have not exited are strays, to be stopped. */
    private Map<String, Heartbeat.TaskStatus> claimedTasks(Machine m, Heartbeat r) {
        m.agent().setHasOrphanTasks(false);
        Map<String, Heartbeat.TaskStatus> claimed = new HashMap<>();
        for (Heartbeat.TaskStatus t : r.tasks()) {
            TaskAssignment c = m.assignments().get(t.taskId());
            if (c != null && c.durable() && c.attempt() == t.attempt() && c.incarnation() == r.incarnation()) {
                claimed.put(t.taskId(), t);
            } else if (t.phase() != Heartbeat.TaskPhase.EXITED) {
                m.agent().setHasOrphanTasks(true);
                commands.sendSoon(m);
            }
        }
        return claimed;
    }

    /**
     * A stopped task that the report in turn does not name. A worker has one report in flight: every answer with a
     * start in it was carried out or dropped before this report, no direct start is unanswered, and older leaders are
     * not obeyed any more.
     */
    private boolean certainlyNotStarted(Machine m, TaskAssignment c) {
        return c.stopping()
                && c.durable()
                && c.phase() == null
                && m.acknowledgedTerm(term)
                && !m.agent().unansweredStarts().containsKey(c.attemptId());
    }

    private void see(Machine m, TaskAssignment c, Heartbeat.TaskStatus t, long now) {
        if (c.phase() != t.phase()) {
            c.setPhase(t.phase());
            switch (t.phase()) {
                case WAITING_FOR_GANG ->
                    m.cacheImage(c.job().spec().image(), c.job().spec().imageGb());
                case RUNNING, SAVING_CHECKPOINT -> running(m, c, now);
                default -> {}
            }
            events.progressed(c);
        }
        if (t.phase() == Heartbeat.TaskPhase.EXITED) {
            events.exited(m, c, t);
        }
    }

    private void running(Machine m, TaskAssignment c, long now) {
        if (c.runningSince() != 0) {
            return;
        }
        c.setRunningSince(now);
        LOG.debug(
                "{} of {} runs on {} in {}, ordered {} ms ago",
                c.taskId(),
                c.job().spec().jobClass(),
                m.name(),
                m.zone(),
                c.assignedAt() == 0 ? -1 : now - c.assignedAt());
        c.job().setStarted(true);
        m.cacheImage(c.job().spec().image(), c.job().spec().imageGb());
        if (c.job().spec().gang() && c.job().runningCount() == c.job().spec().taskCount()) {
            events.gangRuns(c.job());
        }
    }

    /** What a notice asks for: save what can be saved, and move what has to run elsewhere. */
    private void leave(Machine m, long now) {
        for (TaskAssignment c : List.copyOf(m.assignments().values())) {
            if (c.job().spec().gang()) {
                if (c.job().spec().estimateS() - c.runtimeMs(now) / 1000.0
                        > m.instance().reclaimNoticeS()) {
                    events.stopWhole(
                            c,
                            c.job().spec().checkpointSaveS() <= m.instance().reclaimNoticeS()
                                    ? c.job().spec().checkpointSaveS()
                                    : 0);
                }
            } else if (c.job().spec().service()) {
                cluster.requestStop(c, 0, now);
            } else if (c.job().spec().checkpointIntervalS() > 0) {
                cluster.requestStop(c, c.job().spec().checkpointSaveS(), now);
            } else if (c.job().spec().estimateS() - c.runtimeMs(now) / 1000.0
                    > m.instance().reclaimNoticeS()) {
                cluster.requestStop(c, 0, now); // it would be lost all the same, only later
            }
        }
        commands.sendSoon(m);
        events.changed();
    }

    /** The cloud has confirmed that a machine is gone with all that was on it. */
    public void deleted(Machine m) {
        for (TaskAssignment c : List.copyOf(m.assignments().values())) {
            events.gone(c, "machine deleted");
        }
        cluster.forget(m);
        events.changed();
    }
}
