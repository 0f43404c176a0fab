package stileferry.autoscaling;

import java.util.List;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.heartbeat.HeartbeatHandler;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.Settings;

/** Scales the cluster in one term: requests machines for waiting jobs, deletes idle ones, reads the cloud's list. */
public final class Autoscaler {
    private final CloudClient cloud;
    private final CloudInventory inventory;
    private final ScaleIn scaleIn;
    private final ScaleOut scaleOut;

    /** An autoscaler for one term; {@code term} makes the ids of its requests to the cloud unique. */
    public Autoscaler(
            ClusterState cluster,
            Environment environment,
            HeartbeatHandler heartbeatHandler,
            long term,
            LinkHealth links) {
        Settings settings = cluster.settings();
        this.cloud = new CloudClient(
                environment, settings.cloudAddress(), settings.cloud().requestsPerS());
        this.inventory =
                new CloudInventory(cluster, environment, cloud, heartbeatHandler.commandDispatcher()::announceTerm);
        this.scaleIn = new ScaleIn(cluster, environment, heartbeatHandler, cloud, inventory, links);
        this.scaleOut = new ScaleOut(cluster, environment, heartbeatHandler.failureDetector(), cloud, term);
    }

    /** Drops the answers of all calls that are under way. */
    public void close() {
        cloud.close();
    }

    /** Reads the cloud's list of machines again when it is time. */
    public void refreshInventory() {
        inventory.refresh();
    }

    /**
     * Deletes machines that are lost, idle or not to be used.
     *
     * @param allWorkersHeard whether this leader has had time to hear from all machines; before, only what is certain counts
     */
    public void scaleIn(boolean allWorkersHeard) {
        scaleIn.scaleIn(allWorkersHeard);
    }

    /** Requests machines for the tasks of these jobs that wait, the first jobs first. */
    public void scaleOut(List<Job> waiting) {
        scaleOut.scaleOut(waiting);
    }
}
