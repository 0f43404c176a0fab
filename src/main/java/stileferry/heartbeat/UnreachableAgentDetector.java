package stileferry.heartbeat;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.AgentState;
import stileferry.cluster.ClusterState;
import stileferry.cluster.LeaseState;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;

/**
 * Suspects agents whose heartbeats arrive but which do not receive the responses. The signs are a lease that expires
 * although responses were sent to the agent in time, and starts in a response that were neither carried out nor
 * rejected. A suspected machine gets no work until it has responded to a direct request.
 */
final class UnreachableAgentDetector {
    private static final Logger LOG = LoggerFactory.getLogger("heartbeat");

    private final Environment environment;
    private final long firstToken;
    private final long leaseMs;

    UnreachableAgentDetector(ClusterState cluster, Environment environment, long firstToken) {
        this.environment = environment;
        this.firstToken = firstToken;
        this.leaseMs = Math.round(cluster.settings().workers().leaseS() * 1000);
    }

    /** Judges the agent by a new heartbeat, before the heartbeat is reconciled. */
    void check(Machine machine, Heartbeat heartbeat) {
        AgentState agent = machine.agent();
        if (!machine.hasAcknowledgedTerm(firstToken) || agent.unreachableSince() != 0) {
            return;
        }
        boolean leaseExpired = leaseExpiredAlthoughAnswered(agent, heartbeat);
        if (leaseExpired || ignoredStarts(machine, heartbeat)) {
            LOG.info(
                    "agent suspected unreachable: machine={} reason={}",
                    machine.name(),
                    leaseExpired ? "its lease expired although it was answered" : "it ignored starts");
            agent.markUnreachable(environment.now());
        }
    }

    private boolean leaseExpiredAlthoughAnswered(AgentState agent, Heartbeat heartbeat) {
        return heartbeat.incarnation() > agent.incarnation()
                && agent.incarnation() > 0
                && agent.lease().lastAnsweredAt() != LeaseState.NEVER
                && environment.now() - agent.lease().lastAnsweredAt() < leaseMs;
    }

    private static boolean ignoredStarts(Machine machine, Heartbeat heartbeat) {
        AgentState agent = machine.agent();
        if (heartbeat.incarnation() != agent.incarnation()
                || heartbeat.sequence() <= agent.sequence()
                || agent.startsInLastResponse().isEmpty()) {
            return false;
        }
        Set<String> reportedAttempts = new HashSet<>();
        heartbeat.tasks().forEach(task -> reportedAttempts.add(task.attemptId()));
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (assignment.phase() == null
                    && agent.startsInLastResponse().contains(assignment.attemptId())
                    && !reportedAttempts.contains(assignment.attemptId())) {
                return true;
            }
        }
        return false;
    }
}
