package stileferry.heartbeat;

import stileferry.cluster.AgentState;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Machine;
import stileferry.leadership.LeaderElection;
import stileferry.protocol.Heartbeat;

/** Decides whether to respond to a heartbeat; the response renews the worker's lease. */
final class LeaseRenewalPolicy {
    private final ClusterState cluster;
    private final LeaderElection leadership;

    LeaseRenewalPolicy(ClusterState cluster, LeaderElection leadership) {
        this.cluster = cluster;
        this.leadership = leadership;
    }

    boolean mayAnswer(Heartbeat heartbeat) {
        if (!leadership.mayRenewWorkerLeases()) {
            return false; // another leader may have confirmed cancellations that this controller does not know
        }
        if (cluster.deletedMachines().contains(heartbeat.machine())) {
            return false; // sent before the machine was deleted
        }
        Machine machine = cluster.getOrAddMachine(heartbeat.machine());
        if (machine.instance().terminating()
                || heartbeat.incarnation() <= machine.agent().lease().expiredIncarnation()) {
            return false; // its tasks count as gone, or soon will
        }
        return !outdated(machine.agent(), heartbeat);
    }

    /**
     * Returns whether a newer heartbeat was received. A worker has one heartbeat in flight, so it does not wait for the
     * response to an older one.
     */
    private static boolean outdated(AgentState agent, Heartbeat heartbeat) {
        return heartbeat.incarnation() < agent.incarnation()
                || heartbeat.incarnation() == agent.heartbeatIncarnation()
                        && heartbeat.sequence() <= agent.heartbeatSequence();
    }
}
