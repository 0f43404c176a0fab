package stileferry.heartbeat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import stileferry.cluster.AgentState;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.leadership.FencingTokens;
import stileferry.leadership.LeaderElection;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.WorkerCommand;
import stileferry.protocol.WorkerMessages;

/**
 * Responds to the workers' heartbeats during one term. Each response renews the worker's lease and carries the commands
 * that the worker needs.
 */
public final class HeartbeatHandler {
    private final ClusterState cluster;
    private final Environment environment;
    private final LeaderElection leadership;
    private final FencingTokens tokens;
    private final TaskObserver taskObserver;
    private final LastHeartbeatJournal journal;
    private final byte[] emptyResponse;
    private final LeaseRenewalPolicy leaseRenewalPolicy;
    private final FailureDetector failureDetector;
    private final CommandPlanner commandPlanner;
    private final CommandDispatcher commandDispatcher;
    private final UnreachableAgentDetector unreachableAgentDetector;
    private final HeartbeatReconciliation reconciliation;

    /** Creates the handler of one term; {@code taskObserver} is notified of what heartbeats prove. */
    public HeartbeatHandler(
            ClusterState cluster,
            Environment environment,
            LeaderElection leadership,
            FencingTokens tokens,
            TaskObserver taskObserver,
            LastHeartbeatJournal journal,
            EventLoopLag eventLoopLag) {
        this.cluster = cluster;
        this.environment = environment;
        this.leadership = leadership;
        this.tokens = tokens;
        this.taskObserver = taskObserver;
        this.journal = journal;
        this.emptyResponse = MessageCodec.encode(WorkerMessages.heartbeatResponse(tokens.first(), List.of()));
        this.leaseRenewalPolicy = new LeaseRenewalPolicy(cluster, leadership);
        this.failureDetector = new FailureDetector(cluster, environment, leadership, taskObserver, journal);
        this.commandPlanner = new CommandPlanner(cluster, () -> leadership.leaseHeld(), tokens);
        this.commandDispatcher = new CommandDispatcher(
                cluster, environment, leadership, tokens, eventLoopLag, commandPlanner, this::directRequestAnswered);
        this.unreachableAgentDetector = new UnreachableAgentDetector(cluster, environment, tokens.first());
        this.reconciliation = new HeartbeatReconciliation(
                cluster, environment, tokens.first(), taskObserver, commandDispatcher, eventLoopLag);
    }

    /** Stops sending commands. */
    public void close() {
        commandDispatcher.close();
    }

    /** Returns how often the fencing token of a machine was raised in this term. */
    public long tokenRaises() {
        return commandPlanner.tokenRaises();
    }

    /** Returns the detector that judges machines with missed heartbeats. */
    public FailureDetector failureDetector() {
        return failureDetector;
    }

    /** Returns the dispatcher that sends commands without waiting for heartbeats. */
    public CommandDispatcher commandDispatcher() {
        return commandDispatcher;
    }

    /**
     * Handles a heartbeat and replies with the body of the response, or with null if the response must not be sent
     * with status 200. The reply may come later, once it is durable that the machine has resumed its heartbeats.
     */
    public void receive(Heartbeat heartbeat, Consumer<byte[]> reply) {
        if (!leaseRenewalPolicy.mayAnswer(heartbeat)) {
            reply.accept(null);
            return;
        }
        Machine machine = cluster.getOrAddMachine(heartbeat.machine());
        if (machine.agent().lease().lastHeartbeatRecord() == null) {
            reply.accept(answer(machine, heartbeat));
            return;
        }
        machine.agent().markHeard(environment.now()); // not presumed lost, however long the store takes
        journal.invalidateThenAnswer(
                machine,
                () -> reply.accept(leaseRenewalPolicy.mayAnswer(heartbeat) ? answer(machine, heartbeat) : null),
                () -> reply.accept(null));
    }

    private byte[] answer(Machine machine, Heartbeat heartbeat) {
        AgentState agent = machine.agent();
        agent.recordHeartbeatSequence(heartbeat);
        if (machine.isUnchangedBy(heartbeat) && heartbeat.sequence() > agent.sequence()) {
            agent.recordUnchangedHeartbeat(heartbeat, environment.now());
            return response(machine, List.of());
        }
        unreachableAgentDetector.check(machine, heartbeat);
        boolean fresh = reconciliation.reconcile(machine, heartbeat, HeartbeatReconciliation.Origin.HEARTBEAT);
        agent.lease().markAnswered(environment.now());
        List<WorkerCommand> commands =
                fresh ? commandPlanner.commandsFor(machine, CommandPlanner.Delivery.HEARTBEAT_RESPONSE) : List.of();
        agent.setStartsInLastResponse(startedAttempts(commands));
        CommandLog.sent(
                machine,
                CommandPlanner.Delivery.HEARTBEAT_RESPONSE,
                tokens.raised(agent.startFence().raises()),
                agent.incarnation(),
                commands);
        return response(machine, commands);
    }

    private byte[] response(Machine machine, List<WorkerCommand> commands) {
        long raises = machine.agent().startFence().raises();
        return commands.isEmpty() && raises == 0
                ? emptyResponse
                : MessageCodec.encode(WorkerMessages.heartbeatResponse(tokens.raised(raises), commands));
    }

    private static Set<String> startedAttempts(List<WorkerCommand> commands) {
        Set<String> attemptIds = Set.of();
        for (WorkerCommand command : commands) {
            if (command.kind() == WorkerCommand.Kind.RUN) {
                attemptIds = attemptIds.isEmpty() ? new HashSet<>() : attemptIds;
                attemptIds.add(command.attemptId());
            }
        }
        return attemptIds;
    }

    /**
     * Responds to a heartbeat before the assignments have been read from the store: renews the lease, and stops tasks
     * of cancelled jobs.
     *
     * @return the body of the response
     */
    public byte[] renewLeaseBeforeRecovery(Heartbeat heartbeat) {
        Machine machine = cluster.getOrAddMachine(heartbeat.machine());
        machine.setAddress(heartbeat.address());
        machine.agent().lease().markAnswered(environment.now());
        return response(machine, leadership.cancellations().killCommandsFor(heartbeat));
    }

    private void directRequestAnswered(Machine machine, Heartbeat status) {
        reconciliation.reconcile(machine, status, HeartbeatReconciliation.Origin.DIRECT_REQUEST);
    }

    /** Settles the assignments of a machine and forgets the machine, after the cloud has confirmed its deletion. */
    public void machineDeleted(Machine machine) {
        for (TaskAssignment assignment : List.copyOf(machine.assignments().values())) {
            taskObserver.taskProvenGone(assignment, SettlementProof.MACHINE_DELETED);
        }
        cluster.removeDeletedMachine(machine);
        taskObserver.schedulingInputChanged();
    }
}
