package stileferry.heartbeat;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.AgentState;
import stileferry.cluster.ClusterState;
import stileferry.cluster.LeaseState;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.leadership.LeaderElection;
import stileferry.protocol.Environment;

/**
 * Finds machines whose lease has certainly expired, which proves that their tasks are gone: an agent ends its tasks
 * when its lease runs out.
 */
final class LeaseExpiry {
    private static final Logger LOG = LoggerFactory.getLogger("heartbeat");

    /** Twice the maximum difference between two clocks with a drift of at most 0.05%. */
    private static final double MAX_CLOCK_DRIFT = 0.001;

    /** Margin for late timers and packets. */
    private static final long EXPIRY_MARGIN_MS = 500;

    private final ClusterState cluster;
    private final Environment environment;
    private final LeaderElection leadership;
    private final TaskObserver taskObserver;
    private final LastHeartbeatJournal journal;
    private final long expiryMs;

    LeaseExpiry(
            ClusterState cluster,
            Environment environment,
            LeaderElection leadership,
            TaskObserver taskObserver,
            LastHeartbeatJournal journal) {
        this.cluster = cluster;
        this.environment = environment;
        this.leadership = leadership;
        this.taskObserver = taskObserver;
        this.journal = journal;
        long leaseMs = Math.round(cluster.settings().workers().leaseS() * 1000);
        this.expiryMs = Math.round(leaseMs * (1 + MAX_CLOCK_DRIFT)) + EXPIRY_MARGIN_MS;
    }

    /**
     * Settles the assignments of machines whose lease has expired, and records the last heartbeats of others that
     * missed some.
     */
    void expireLeases() {
        long now = environment.now();
        long acknowledgedByAllPeersAt = leadership.acknowledgedByAllPeersAt();
        for (Machine machine : cluster.machines().values()) {
            long incarnation = highestIncarnation(machine);
            if (incarnation <= machine.agent().lease().expiredIncarnation()) {
                continue;
            }
            LatestRenewal renewal = LatestRenewal.of(machine.agent().lease(), incarnation, acknowledgedByAllPeersAt);
            if (renewal == null) {
                continue;
            }
            journal.recordLastHeartbeat(machine, incarnation, renewal.at());
            if (now >= renewal.at() + expiryMs) {
                logExpiry(machine, incarnation, renewal, now);
                expire(machine, incarnation);
            }
        }
    }

    private static long highestIncarnation(Machine machine) {
        long incarnation = machine.agent().incarnation();
        for (TaskAssignment assignment : machine.assignments().values()) {
            incarnation = Math.max(incarnation, assignment.incarnation());
        }
        return incarnation;
    }

    private static void logExpiry(Machine machine, long incarnation, LatestRenewal renewal, long now) {
        AgentState agent = machine.agent();
        if (agent.heardThisTerm() || !machine.assignments().isEmpty()) {
            LOG.info(
                    "machine lease expired: machine={} tasks={} incarnation={} renewed_ms_ago={} proof={}"
                            + " answered_ms_ago={} acknowledged_ms_ago={}",
                    machine.name(),
                    machine.assignments().size(),
                    incarnation,
                    now - renewal.at(),
                    renewal.formerLeadersStopped().label(),
                    elapsedMs(agent.lease().lastAnsweredAt(), now),
                    elapsedMs(agent.lease().termAcknowledgedAt(), now));
        }
    }

    /** Returns how long ago something happened, or {@link LeaseState#NEVER} if it has not. */
    private static long elapsedMs(long since, long now) {
        return since == LeaseState.NEVER ? LeaseState.NEVER : now - since;
    }

    private void expire(Machine machine, long incarnation) {
        machine.agent().lease().expireIncarnation(incarnation);
        for (TaskAssignment assignment : List.copyOf(machine.assignments().values())) {
            taskObserver.taskProvenGone(assignment, SettlementProof.LEASE_EXPIRED);
        }
        taskObserver.schedulingInputChanged();
    }
}
