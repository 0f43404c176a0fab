package stileferry.autoscaling;

import java.util.List;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.heartbeat.HeartbeatHandler;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.Settings;

/** Dealings with the cloud in one term: rents for what waits, returns what is idle, and watches the list. */
public final class Autoscaler {
    private final CloudClient cloud;
    private final CloudInventory refreshInventory;
    private final ScaleIn returns;
    private final ScaleOut rentals;

    public Autoscaler(
            ClusterState cluster, Environment environment, HeartbeatHandler fleet, long term, LinkHealth links) {
        Settings settings = cluster.settings();
        this.cloud = new CloudClient(
                environment, settings.cloudAddress(), settings.cloud().requestsPerS());
        this.refreshInventory =
                new CloudInventory(cluster, environment, cloud, fleet.commandDispatcher()::announceTerm);
        this.returns = new ScaleIn(cluster, environment, fleet, cloud, refreshInventory, links);
        this.rentals = new ScaleOut(cluster, environment, fleet, cloud, term);
    }

    public void close() {
        cloud.close();
    }

    /** Reads the list of machines again when it is time. */
    public void refreshInventory() {
        refreshInventory.list();
    }

    /** Returns what is lost or idle; before the leader is settled only what is certain. */
    public void scaleIn(boolean settled) {
        returns.returnMachines(settled);
    }

    /** Rents for the jobs that wait. */
    public void scaleOut(List<Job> waiting) {
        rentals.rent(waiting);
    }
}
