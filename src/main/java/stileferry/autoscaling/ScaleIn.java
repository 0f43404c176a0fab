package stileferry.autoscaling;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Machine;
import stileferry.heartbeat.HeartbeatHandler;
import stileferry.links.LinkHealth;
import stileferry.protocol.CloudMessages;
import stileferry.protocol.Environment;

/** Has the cloud delete machines: lost ones, whose deletion proves that their tasks are gone, and idle ones. */
final class ScaleIn {
    private static final Logger LOG = LoggerFactory.getLogger("cloud");

    private static final int OK = 200;
    private static final int MAX_MACHINES_PER_REQUEST = 100;

    private final ClusterState cluster;
    private final Environment environment;
    private final HeartbeatHandler heartbeatHandler;
    private final CloudClient cloud;
    private final CloudInventory inventory;
    private final LinkHealth links;
    private final long leadingSince;
    private boolean deletionInFlight;

    ScaleIn(
            ClusterState cluster,
            Environment environment,
            HeartbeatHandler heartbeatHandler,
            CloudClient cloud,
            CloudInventory inventory,
            LinkHealth links) {
        this.cluster = cluster;
        this.environment = environment;
        this.heartbeatHandler = heartbeatHandler;
        this.cloud = cloud;
        this.inventory = inventory;
        this.links = links;
        this.leadingSince = environment.now();
    }

    /** Marks the machines that are to be deleted, and has the cloud delete marked ones. */
    void scaleIn(boolean allWorkersHeard) {
        ScaleInPass pass = new ScaleInPass(
                cluster,
                heartbeatHandler.failureDetector(),
                inventory,
                links,
                leadingSince,
                allWorkersHeard,
                environment.now());
        for (Machine machine : cluster.machines().values()) {
            if (!machine.instance().terminating()) {
                ScaleInReason reason = pass.reasonFor(machine);
                if (reason != null) {
                    terminate(machine, reason);
                }
            }
        }
        deleteTerminating();
    }

    private void terminate(Machine machine, ScaleInReason reason) {
        LOG.info(
                "scale in: machine={} tasks={} reason={}",
                machine.name(),
                machine.assignments().size(),
                reason);
        machine.instance().terminate();
        cluster.freeCapacity().update(machine);
    }

    private void deleteTerminating() {
        List<String> names = new ArrayList<>();
        for (Machine machine : cluster.machines().values()) {
            if (machine.instance().terminating() && names.size() < MAX_MACHINES_PER_REQUEST) {
                names.add(machine.name());
            }
        }
        if (deletionInFlight || names.isEmpty() || !cloud.tryAcquire()) {
            return;
        }
        deletionInFlight = true;
        cloud.call("POST", CloudMessages.DELETION_PATH, CloudMessages.deletionRequest(names), (status, body) -> {
            deletionInFlight = false;
            if (status == OK) {
                names.forEach(this::onDeleted);
            }
        });
    }

    private void onDeleted(String name) {
        Machine machine = cluster.machines().get(name);
        if (machine != null) {
            heartbeatHandler.machineDeleted(machine);
        }
    }
}
