package stileferry.heartbeat;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.AgentState;
import stileferry.cluster.ClusterState;
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

    private static final long UNKNOWN = -1;

    private final ClusterState cluster;
    private final Environment environment;
    private final LeaderElection leadership;
    private final long term;
    private final TaskObserver taskObserver;
    private final LastHeartbeatJournal journal;
    private final long expiryMs;

    LeaseExpiry(
            ClusterState cluster,
            Environment environment,
            LeaderElection leadership,
            long term,
            TaskObserver taskObserver,
            LastHeartbeatJournal journal) {
        this.cluster = cluster;
        this.environment = environment;
        this.leadership = leadership;
        this.term = term;
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
        long termAcknowledgedAt = leadership.acknowledgedByAllPeersAt();
        for (Machine machine : cluster.machines().values()) {
            long incarnation = highestIncarnation(machine);
            long renewedAt = latestPossibleRenewalAt(machine, incarnation, termAcknowledgedAt);
            if (renewedAt == UNKNOWN || incarnation <= machine.agent().expiredIncarnation()) {
                continue;
            }
            journal.recordLastHeartbeat(machine, incarnation, renewedAt);
            if (now >= renewedAt + expiryMs) {
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

    /**
     * Returns the latest time at which any controller can have renewed the lease of an incarnation, or {@link
     * #UNKNOWN}. An incarnation that was seen only in responses to direct requests has a lease of its own, which no
     * answered heartbeat has started.
     *
     * @param termAcknowledgedAt when the last controller acknowledged this term, or negative if not all of them have
     */
    private long latestPossibleRenewalAt(Machine machine, long incarnation, long termAcknowledgedAt) {
        AgentState agent = machine.agent();
        if (agent.lastAnsweredAt() > 0 && machine.hasAcknowledgedTerm(term)) {
            return Math.max(agent.lastAnsweredAt(), agent.incarnationSeenAt());
        }
        if (agent.answeredByPreviousLeaderAt() >= 0
                && !agent.heardThisTerm()
                && incarnation <= agent.answeredByPreviousLeaderIncarnation()) {
            return Math.max(agent.answeredByPreviousLeaderAt(), agent.lastAnsweredAt());
        }
        if (termAcknowledgedAt < 0) {
            return UNKNOWN;
        }
        return Math.max(termAcknowledgedAt, Math.max(agent.lastAnsweredAt(), agent.incarnationSeenAt()));
    }

    private void expire(Machine machine, long incarnation) {
        machine.agent().expireIncarnation(incarnation);
        if (machine.agent().heardThisTerm() || !machine.assignments().isEmpty()) {
            LOG.info(
                    "machine lease expired: machine={} tasks={}",
                    machine.name(),
                    machine.assignments().size());
        }
        for (TaskAssignment assignment : List.copyOf(machine.assignments().values())) {
            taskObserver.taskProvenGone(assignment, SettlementProof.LEASE_EXPIRED);
        }
        taskObserver.schedulingInputChanged();
    }
}
