package stileferry.heartbeat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import stileferry.cluster.AgentState;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.leadership.LeaderElection;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.WorkerCommand;
import stileferry.protocol.WorkerMessages;

/** Sends direct requests to workers: commands that should not wait for the next heartbeat, and probes without any. */
public final class CommandDispatcher {
    /** Timeout of a probe, in heartbeat intervals: short, as many machines may be probed that can't answer. */
    private static final double PROBE_TIMEOUT_HEARTBEATS = 0.25;

    /** At least this long, as packets get lost. */
    private static final long MIN_PROBE_TIMEOUT_MS = 1000;

    private static final int OK = 200;

    /** The worker has another incarnation or has acknowledged a higher term; its answer says which. */
    private static final int CONFLICT = 409;

    private final ClusterState cluster;
    private final Environment environment;
    private final LeaderElection leadership;
    private final long term;
    private final EventLoopLag eventLoopLag;
    private final CommandPlanner planner;
    private final StatusListener statusListener;
    private final TermAnnouncer termAnnouncer;
    private final long heartbeatIntervalMs;
    private final long probeTimeoutMs;
    private final int maxInFlight;
    private final Set<Machine> queuedForCommands = new LinkedHashSet<>();
    private final Set<Machine> queuedForProbe = new LinkedHashSet<>();
    private final Set<Machine> inFlight = new LinkedHashSet<>();
    private boolean closed;

    /** Takes the status with which workers answer direct requests. */
    interface StatusListener {
        /** A worker has answered a direct request with its status. */
        void statusReceived(Machine machine, Heartbeat status);
    }

    /**
     * A direct request to a worker.
     *
     * @param remainingSends how often it may be sent, this time included, if the worker names another incarnation
     */
    private record DirectRequest(
            Machine machine, long incarnation, List<WorkerCommand> commands, int remainingSends, long timeoutMs) {}

    CommandDispatcher(
            ClusterState cluster,
            Environment environment,
            LeaderElection leadership,
            long term,
            EventLoopLag eventLoopLag,
            CommandPlanner planner,
            StatusListener statusListener) {
        this.cluster = cluster;
        this.environment = environment;
        this.leadership = leadership;
        this.term = term;
        this.eventLoopLag = eventLoopLag;
        this.planner = planner;
        this.statusListener = statusListener;
        this.termAnnouncer = new TermAnnouncer(cluster, environment, eventLoopLag, this);
        this.heartbeatIntervalMs = Math.round(cluster.settings().workers().heartbeatIntervalS() * 1000);
        this.probeTimeoutMs =
                Math.max(MIN_PROBE_TIMEOUT_MS, Math.round(heartbeatIntervalMs * PROBE_TIMEOUT_HEARTBEATS));
        this.maxInFlight = cluster.settings().socketBudget().commands();
    }

    /** Sends nothing more and drops the answers to what was sent. */
    void close() {
        closed = true;
    }

    boolean closed() {
        return closed;
    }

    /** Queues a probe of this machine, to learn its status. */
    void queueProbe(Machine machine) {
        queuedForProbe.add(machine);
    }

    /** Queues the commands of this machine, to be sent without waiting for its next heartbeat. */
    public void queueCommands(Machine machine) {
        queuedForCommands.add(machine);
    }

    /** Announces this term to every machine that has not been heard in it. */
    public void announceTerm() {
        termAnnouncer.start();
    }

    /** Queues probes of machines that may not receive our answers, and of machines that missed heartbeats. */
    public void queueProbes() {
        long now = environment.now();
        for (Machine machine : cluster.machines().values()) {
            if ((suspectedUnreachable(machine, now) || missedHeartbeat(machine, now))
                    && !machine.instance().terminating()
                    && !machine.address().isEmpty()
                    && !inFlight.contains(machine)) {
                queueProbe(machine);
            }
        }
    }

    private boolean suspectedUnreachable(Machine machine, long now) {
        long unreachableSince = machine.agent().unreachableSince();
        return unreachableSince != 0 && now - unreachableSince > heartbeatIntervalMs / 2;
    }

    private boolean missedHeartbeat(Machine machine, long now) {
        return machine.agent().heardThisTerm()
                && !machine.assignments().isEmpty()
                && now - machine.agent().lastHeardAt() > FailureDetector.MISSED_AFTER_HEARTBEATS * heartbeatIntervalMs;
    }

    /** Sends what is queued; machines not heard lately get their commands in answer to their heartbeats. */
    public void sendQueued() {
        if (closed) {
            return;
        }
        boolean sure = leadership.leaseHeld();
        if (sure) {
            sendProbes();
        }
        for (Machine machine : List.copyOf(queuedForCommands)) {
            if (inFlight.contains(machine)) {
                continue; // again when the answer is there
            }
            if (inFlight.size() >= maxInFlight) {
                return; // the rest goes out as answers come
            }
            if (!sure && !planner.hasCancelledTasks(machine)) {
                continue; // all else waits until this controller is sure to lead again
            }
            queuedForCommands.remove(machine);
            if (acceptsDirectCommands(machine)) {
                sendCommands(machine);
            }
        }
    }

    /** Whether commands are sent directly now, rather than in the response to the machine's next heartbeat. */
    private boolean acceptsDirectCommands(Machine machine) {
        return machine.agent().heardThisTerm()
                && !machine.instance().terminating()
                && !machine.address().isEmpty()
                && environment.now() - machine.agent().lastHeardAt() <= 2 * heartbeatIntervalMs
                && (!eventLoopLag.overloaded() || planner.urgent(machine));
    }

    private void sendCommands(Machine machine) {
        List<WorkerCommand> commands = planner.commandsFor(machine, CommandPlanner.Delivery.DIRECT);
        if (!commands.isEmpty()) {
            send(new DirectRequest(machine, machine.agent().incarnation(), commands, 1, heartbeatIntervalMs));
        }
    }

    /** Sends probes as answers come: after a failover or a partition all machines may be queued at once. */
    private void sendProbes() {
        while (!queuedForProbe.isEmpty() && mayProbe()) {
            Machine machine = queuedForProbe.iterator().next();
            queuedForProbe.remove(machine);
            if (!machine.instance().terminating() && !inFlight.contains(machine)) {
                send(new DirectRequest(machine, machine.agent().incarnation(), List.of(), 1, probeTimeoutMs));
            }
        }
    }

    /** Probes of machines that may not answer leave connections for commands to machines that do. */
    boolean mayProbe() {
        return inFlight.size() < Math.max(1, maxInFlight / 2);
    }

    /** Announces this term to a worker, so that it sends its status and no longer obeys former leaders. */
    void announceTermTo(Machine machine) {
        if (!machine.address().isEmpty()
                && !machine.agent().heardThisTerm()
                && !machine.instance().terminating()) {
            long incarnation = Math.max(1, machine.agent().incarnation());
            for (TaskAssignment assignment : machine.assignments().values()) {
                incarnation = Math.max(incarnation, assignment.incarnation());
            }
            send(new DirectRequest(machine, incarnation, List.of(), 2, probeTimeoutMs));
        }
    }

    private void send(DirectRequest request) {
        inFlight.add(request.machine);
        environment.request(
                request.machine.address(),
                "POST",
                "/commands",
                WorkerMessages.directCommands(term, request.incarnation, request.commands),
                request.timeoutMs,
                (status, body) -> {
                    inFlight.remove(request.machine);
                    if (!closed) {
                        receiveAnswer(request, status, body);
                    }
                });
    }

    private void receiveAnswer(DirectRequest request, int status, JsonNode body) {
        boolean answered = status == OK || status == CONFLICT;
        if (answered || status == Environment.NOT_SENT) {
            markStartsAnswered(request);
        }
        Heartbeat heartbeat = answered ? Heartbeat.read(body) : null;
        if (heartbeat == null || !heartbeat.machine().equals(request.machine.name())) {
            return; // no answer, or another machine that has the address now
        }
        if (heartbeat.fencingToken() > term) {
            leadership.observeTerm(heartbeat.fencingToken(), "");
            return;
        }
        request.machine.agent().markReachable();
        statusListener.statusReceived(request.machine, heartbeat);
        if (status == CONFLICT && request.remainingSends > 1 && heartbeat.incarnation() != request.incarnation) {
            send(new DirectRequest(
                    request.machine, heartbeat.incarnation(), List.of(), request.remainingSends - 1, request.timeoutMs));
        }
    }

    /** The starts of this request were carried out, refused or never sent, so none of them can arrive later. */
    private static void markStartsAnswered(DirectRequest request) {
        AgentState agent = request.machine.agent();
        for (WorkerCommand command : request.commands) {
            if (command.kind() == WorkerCommand.Kind.RUN) {
                agent.startAnswered(command.attemptId());
            }
        }
    }
}
