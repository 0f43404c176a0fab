package stileferry.heartbeat;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.AgentState;
import stileferry.cluster.ClusterState;
import stileferry.cluster.InvariantMonitor;
import stileferry.cluster.Machine;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;

/** Reconciles the leader's record of a machine with what its agent reports. */
final class HeartbeatReconciliation {
    private static final Logger LOG = LoggerFactory.getLogger("heartbeat");

    private final ClusterState cluster;
    private final Environment environment;
    private final long firstToken;
    private final TaskObserver taskObserver;
    private final CommandDispatcher commandDispatcher;
    private final EventLoopLag eventLoopLag;
    private final TaskReconciliation taskReconciliation;
    private final ReclaimNoticeHandler reclaimNoticeHandler;

    /** The message in which an agent reported its status. */
    enum Origin {
        /** A heartbeat; an agent has one in flight, so heartbeats arrive in order. */
        HEARTBEAT,

        /** The response to a direct request. */
        DIRECT_REQUEST
    }

    HeartbeatReconciliation(
            ClusterState cluster,
            Environment environment,
            long firstToken,
            TaskObserver taskObserver,
            CommandDispatcher commandDispatcher,
            EventLoopLag eventLoopLag) {
        this.cluster = cluster;
        this.environment = environment;
        this.firstToken = firstToken;
        this.taskObserver = taskObserver;
        this.commandDispatcher = commandDispatcher;
        this.eventLoopLag = eventLoopLag;
        this.taskReconciliation = new TaskReconciliation(firstToken, taskObserver, commandDispatcher);
        this.reclaimNoticeHandler = new ReclaimNoticeHandler(cluster, taskObserver, commandDispatcher);
    }

    /**
     * Applies a reported status.
     *
     * @return false if the status is outdated: a newer one was received before, or its incarnation has expired
     */
    boolean reconcile(Machine machine, Heartbeat heartbeat, Origin origin) {
        if (outdated(machine.agent(), heartbeat)) {
            return false;
        }
        long now = environment.now();
        updateIncarnation(machine, heartbeat, now);
        updateTerm(machine, heartbeat, now);
        machine.agent().recordStatus(heartbeat, firstToken, now);
        checkForgottenAttempts(machine, heartbeat);
        updateInstance(machine, heartbeat);
        handleReclaimNotice(machine, heartbeat, now);
        taskReconciliation.reconcile(machine, heartbeat, origin, now);
        return true;
    }

    private static boolean outdated(AgentState agent, Heartbeat heartbeat) {
        return heartbeat.incarnation() < agent.incarnation()
                || heartbeat.incarnation() == agent.incarnation() && heartbeat.sequence() <= agent.sequence()
                || heartbeat.incarnation() <= agent.lease().expiredIncarnation();
    }

    private void updateIncarnation(Machine machine, Heartbeat heartbeat, long now) {
        AgentState agent = machine.agent();
        boolean newIncarnation = heartbeat.incarnation() > agent.incarnation();
        if (!agent.heardThisTerm() || newIncarnation) {
            machine.instance().markIdleSince(now);
            taskObserver.schedulingInputChanged();
        }
        if (!agent.heardThisTerm() && machine.instance().booting()) {
            LOG.info(
                    "machine up: machine={} zone={} boot_s={}",
                    machine.name(),
                    heartbeat.zone(),
                    (now - machine.instance().requestedAt()) / 1000);
        }
        if (newIncarnation) {
            agent.beginIncarnation(now);
        }
    }

    private void updateTerm(Machine machine, Heartbeat heartbeat, long now) {
        AgentState agent = machine.agent();
        if (!agent.heardThisTerm() && heartbeat.fencingToken() < firstToken) {
            // Until it shows this term, the heartbeat may be a late copy from a machine that is gone.
            agent.markUnreachable(now);
            if (!eventLoopLag.overloaded()) {
                commandDispatcher.queueProbe(machine); // does not wait for the next heartbeat, as work may be waiting
            }
        } else if (agent.fencingToken() < firstToken && heartbeat.fencingToken() >= firstToken) {
            agent.lease().recordTermAcknowledged(now);
            agent.markReachable();
            taskObserver.schedulingInputChanged();
        }
    }

    private void checkForgottenAttempts(Machine machine, Heartbeat heartbeat) {
        Heartbeat.TaskStatus startedAgain = machine.agent().findForgottenAttempt(heartbeat);
        if (startedAgain != null) {
            cluster.invariants()
                    .violated(
                            InvariantMonitor.Invariant.FORGOTTEN_ATTEMPT_STAYS_FORGOTTEN,
                            "attempt=" + startedAgain.attemptId() + " phase=" + startedAgain.phase() + " machine="
                                    + machine.name() + " token=" + heartbeat.fencingToken() + " incarnation="
                                    + heartbeat.incarnation());
        }
    }

    private void updateInstance(Machine machine, Heartbeat heartbeat) {
        machine.instance().setBooting(false);
        machine.setAddress(heartbeat.address());
        machine.setTypeName(heartbeat.machineType());
        machine.setType(cluster.machineType(heartbeat.machineType()));
        machine.setSpot(heartbeat.spot());
        cluster.setZone(machine, heartbeat.zone());
        cluster.freeCapacity().update(machine);
    }

    private void handleReclaimNotice(Machine machine, Heartbeat heartbeat, long now) {
        if (heartbeat.reclaimNoticeS() >= 0 && machine.instance().reclaimNoticeS() < 0) {
            LOG.info("reclaim notice: machine={} notice_s={}", machine.name(), heartbeat.reclaimNoticeS());
            machine.instance().recordReclaimNotice(heartbeat.reclaimNoticeS());
            reclaimNoticeHandler.evictTasks(machine, now);
        }
    }
}
