package stileferry.heartbeat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.leadership.FencingTokens;
import stileferry.leadership.LeaderElection;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.WorkerCommand;
import stileferry.protocol.WorkerMessages;

/**
 * Sends direct requests to workers: commands that should not wait for the next heartbeat, and probes, which carry no
 * commands.
 */
public final class CommandDispatcher {
    /**
     * Timeout of a probe in heartbeat intervals. It is short, because many of the probed machines may be unable to
     * respond.
     */
    private static final double PROBE_TIMEOUT_HEARTBEATS = 0.25;

    /** Minimum timeout of a probe, as packets may get lost. */
    private static final long MIN_PROBE_TIMEOUT_MS = 1000;

    private static final int OK = 200;

    /** The worker runs another incarnation or has acknowledged a higher term; its response says which. */
    private static final int CONFLICT = 409;

    private final ClusterState cluster;
    private final Environment environment;
    private final LeaderElection leadership;
    private final FencingTokens tokens;
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

    /** Receives the status that workers return in response to direct requests. */
    interface StatusListener {
        /** Called when a worker has responded to a direct request with its status. */
        void statusReceived(Machine machine, Heartbeat status);
    }

    /**
     * A direct request to a worker.
     *
     * @param raises how often the machine's token was raised before the request
     * @param remainingSends how often the request may still be sent, this send included, if the worker reports another
     *     incarnation
     */
    private record DirectRequest(
            Machine machine,
            long incarnation,
            long raises,
            List<WorkerCommand> commands,
            int remainingSends,
            long timeoutMs) {
        DirectRequest(
                Machine machine, long incarnation, List<WorkerCommand> commands, int remainingSends, long timeoutMs) {
            this(machine, incarnation, machine.agent().startFence().raises(), commands, remainingSends, timeoutMs);
        }
    }

    CommandDispatcher(
            ClusterState cluster,
            Environment environment,
            LeaderElection leadership,
            FencingTokens tokens,
            EventLoopLag eventLoopLag,
            CommandPlanner planner,
            StatusListener statusListener) {
        this.cluster = cluster;
        this.environment = environment;
        this.leadership = leadership;
        this.tokens = tokens;
        this.eventLoopLag = eventLoopLag;
        this.planner = planner;
        this.statusListener = statusListener;
        this.termAnnouncer = new TermAnnouncer(cluster, environment, eventLoopLag, this);
        this.heartbeatIntervalMs = Math.round(cluster.settings().workers().heartbeatIntervalS() * 1000);
        this.probeTimeoutMs =
                Math.max(MIN_PROBE_TIMEOUT_MS, Math.round(heartbeatIntervalMs * PROBE_TIMEOUT_HEARTBEATS));
        this.maxInFlight = cluster.settings().socketBudget().commands();
    }

    /** Stops sending, and ignores the responses to requests in flight. */
    void close() {
        closed = true;
    }

    boolean closed() {
        return closed;
    }

    /** Queues a probe that asks the machine's agent for its status. */
    void queueProbe(Machine machine) {
        queuedForProbe.add(machine);
    }

    /** Queues the machine's pending commands for a direct request that does not wait for its next heartbeat. */
    public void queueCommands(Machine machine) {
        queuedForCommands.add(machine);
    }

    /** Announces this term to every machine that has not been heard from in it. */
    public void announceTerm() {
        termAnnouncer.start();
    }

    /**
     * Queues probes of machines that may not receive the responses to their heartbeats, and of machines that missed
     * heartbeats.
     */
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

    /**
     * Sends the queued probes and commands. A machine without a recent heartbeat gets its commands in the response to
     * its next heartbeat instead.
     */
    public void sendQueued() {
        if (closed) {
            return;
        }
        boolean holdsLease = leadership.leaseHeld();
        if (holdsLease) {
            sendProbes();
        }
        for (Machine machine : List.copyOf(queuedForCommands)) {
            if (inFlight.contains(machine)) {
                continue; // retried once the request in flight has ended
            }
            if (inFlight.size() >= maxInFlight) {
                return; // the rest is sent when requests in flight have ended
            }
            if (!holdsLease && !planner.hasCancelledTasks(machine)) {
                continue; // other commands wait until the leader's lease is held again
            }
            queuedForCommands.remove(machine);
            if (acceptsDirectCommands(machine)) {
                sendCommands(machine);
            }
        }
    }

    /** Returns whether commands are sent directly now, rather than in the response to the machine's next heartbeat. */
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

    /**
     * Sends queued probes as long as connections allow; after a failover or a partition all machines may be queued at
     * once.
     */
    private void sendProbes() {
        while (!queuedForProbe.isEmpty() && mayProbe()) {
            Machine machine = queuedForProbe.iterator().next();
            queuedForProbe.remove(machine);
            if (!machine.instance().terminating() && !inFlight.contains(machine)) {
                send(new DirectRequest(machine, machine.agent().incarnation(), List.of(), 1, probeTimeoutMs));
            }
        }
    }

    /**
     * Returns whether another probe may be sent. Probes leave half of the connections to commands, as the probed
     * machines may not respond.
     */
    boolean mayProbe() {
        return inFlight.size() < Math.max(1, maxInFlight / 2);
    }

    /**
     * Announces this term to a worker, so that it reports its status and no longer obeys former leaders. Does nothing
     * if the machine was heard from in this term, has no known address or is terminating.
     */
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
        CommandLog.sent(
                request.machine,
                CommandPlanner.Delivery.DIRECT,
                tokens.raised(request.raises),
                request.incarnation,
                request.commands);
        environment.request(
                request.machine.address(),
                "POST",
                "/commands",
                WorkerMessages.directCommands(tokens.raised(request.raises), request.incarnation, request.commands),
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
        if (!request.commands.isEmpty()) {
            CommandLog.answered(request.machine, tokens.raised(request.raises), request.incarnation, status);
        }
        Heartbeat heartbeat = answered ? Heartbeat.read(body) : null;
        if (heartbeat == null || !heartbeat.machine().equals(request.machine.name())) {
            return; // no answer, or the address now belongs to another machine
        }
        if (heartbeat.fencingToken() > tokens.last()) {
            leadership.observeTerm(heartbeat.fencingToken(), "");
            return;
        }
        request.machine.agent().markReachable();
        statusListener.statusReceived(request.machine, heartbeat);
        if (status == CONFLICT) {
            sendAgain(request, heartbeat);
        }
    }

    /** Sends what an agent has rejected, for its present incarnation or with its present token. */
    private void sendAgain(DirectRequest rejected, Heartbeat status) {
        Machine machine = rejected.machine;
        if (status.incarnation() != rejected.incarnation) {
            if (rejected.remainingSends > 1) {
                send(new DirectRequest(
                        machine, status.incarnation(), List.of(), rejected.remainingSends - 1, rejected.timeoutMs));
            }
        } else if (rejected.raises < machine.agent().startFence().raises()) {
            queueCommands(machine);
        }
    }
}
