package stileferry.autoscaling;

import java.util.List;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.heartbeat.HeartbeatHandler;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.Settings;

/**
 * Scales the cluster during one term: requests machines for waiting jobs, deletes lost and idle ones, and reads the
 * cloud's list of machines.
 */
public final class Autoscaler {
    private final CloudClient cloud;
    private final CloudInventory inventory;
    private final ScaleIn scaleIn;
    private final ScaleOut scaleOut;

    /**
     * Creates the autoscaler of one term.
     *
     * @param term makes the ids of the requests to the cloud unique
     */
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

    /** Ignores the responses to all calls in flight. */
    public void close() {
        cloud.close();
    }

    /** Reads the cloud's list of machines again if it is due. */
    public void refreshInventory() {
        inventory.refresh();
    }

    /**
     * Deletes machines that are lost, idle or not to be used.
     *
     * @param allWorkersHeard whether this leader has had time to hear from all machines; before that, only what is
     *     certain counts
     */
    public void scaleIn(boolean allWorkersHeard) {
        scaleIn.scaleIn(allWorkersHeard);
    }

    /** Requests machines for the waiting tasks of these jobs, in the order of the list. */
    public void scaleOut(List<Job> waiting) {
        scaleOut.scaleOut(waiting);
    }
}
