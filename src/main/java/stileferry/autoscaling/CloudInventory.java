package stileferry.autoscaling;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.cluster.InstanceState;
import stileferry.cluster.Machine;
import stileferry.protocol.CloudMessages;
import stileferry.protocol.Environment;

/**
 * Reads the cloud's list of machines at regular intervals. The list lags, so a machine missing from it need not be
 * gone.
 */
final class CloudInventory {
    private static final Logger LOG = LoggerFactory.getLogger("cloud");

    private static final int OK = 200;
    private static final int PAGE_SIZE = 500;
    private static final long MIN_REFRESH_INTERVAL_MS = 2000;

    /** Pause before the next page is tried again: a long list has more pages than the cloud accepts calls at once. */
    private static final long RETRY_PAGE_MS = 100;

    /** Share of the cloud's rate limit that reading the list may use. */
    private static final double MAX_RATE_SHARE = 0.5;

    private static final long NEVER = -1;

    private final ClusterState cluster;
    private final Environment environment;
    private final CloudClient cloud;
    private final Runnable onFirstRefresh;
    private boolean refreshing;
    private long refreshedAt = NEVER;
    private boolean complete;

    /** Pages read in the current or the last refresh. */
    private int pageCount;

    /**
     * Creates an inventory that has read nothing yet.
     *
     * @param onFirstRefresh runs when the list has been read completely for the first time
     */
    CloudInventory(ClusterState cluster, Environment environment, CloudClient cloud, Runnable onFirstRefresh) {
        this.cluster = cluster;
        this.environment = environment;
        this.cloud = cloud;
        this.onFirstRefresh = onFirstRefresh;
    }

    /** Returns whether the whole list has been read in this term. */
    boolean complete() {
        return complete;
    }

    /** Starts reading the list again if it is due. */
    void refresh() {
        if (!refreshing && refreshDue() && cloud.tryAcquire()) {
            refreshing = true;
            pageCount = 0;
            readPage("", new ArrayList<>());
        }
    }

    private boolean refreshDue() {
        return refreshedAt == NEVER || environment.now() - refreshedAt > refreshIntervalMs();
    }

    /**
     * Returns the interval between two refreshes: half the list's lag, or longer if reading would otherwise exceed its
     * share of the rate limit.
     */
    private long refreshIntervalMs() {
        long minIntervalForRateMs =
                Math.round(pageCount * 1000 / (cluster.settings().cloud().requestsPerS() * MAX_RATE_SHARE));
        long halfLagMs = Math.round(cluster.settings().cloud().listLagS() * 500);
        return Math.max(MIN_REFRESH_INTERVAL_MS, Math.max(minIntervalForRateMs, halfLagMs));
    }

    /** Reads the page after this machine as soon as the cloud's rate limit allows it. */
    private void readNextPage(String lastMachine, List<CloudMessages.ListedMachine> listed) {
        if (cloud.tryAcquire()) {
            readPage(lastMachine, listed);
        } else {
            environment.schedule(RETRY_PAGE_MS, () -> readNextPage(lastMachine, listed));
        }
    }

    private void readPage(String lastMachine, List<CloudMessages.ListedMachine> listed) {
        pageCount++;
        String path = CloudMessages.listPath(PAGE_SIZE, lastMachine);
        cloud.call("GET", path, null, (status, body) -> receivePage(status, body, listed));
    }

    private void receivePage(int status, JsonNode body, List<CloudMessages.ListedMachine> listed) {
        if (status != OK || body == null) {
            endRefresh();
            return;
        }
        listed.addAll(CloudMessages.listedMachines(body));
        if (CloudMessages.hasMorePages(body) && !listed.isEmpty()) {
            readNextPage(listed.get(listed.size() - 1).name(), listed);
            return;
        }
        endRefresh();
        reconcile(listed);
    }

    private void endRefresh() {
        refreshing = false;
        refreshedAt = environment.now();
    }

    private void reconcile(List<CloudMessages.ListedMachine> listed) {
        long now = environment.now();
        Set<String> names = new HashSet<>();
        for (CloudMessages.ListedMachine machine : listed) {
            if (cluster.deletedMachines().contains(machine.name())) {
                continue; // the list lags behind the deletion
            }
            names.add(machine.name());
            update(machine, now);
        }
        markMissing(names, now);
        if (!complete) {
            complete = true;
            onFirstRefresh.run();
        }
    }

    private void markMissing(Set<String> listedNames, long now) {
        for (Machine machine : cluster.machines().values()) {
            InstanceState instance = machine.instance();
            if (instance.listed() && !listedNames.contains(machine.name()) && instance.missingSince() == 0) {
                instance.markMissing(now);
            }
        }
    }

    private void update(CloudMessages.ListedMachine listed, long now) {
        Machine machine = cluster.getOrAddMachine(listed.name());
        InstanceState instance = machine.instance();
        instance.markListed();
        if (machine.type() == null || machine.address().isEmpty()) {
            updateProperties(machine, listed);
        }
        if (instance.requestedAt() == 0) {
            instance.setRequestedAt(now - Math.round(listed.ageS() * 1000));
        }
        if (!machine.agent().heardThisTerm()) {
            instance.setBooting(listed.isBooting());
        }
        if (listed.hasFailed() && !instance.terminating()) {
            LOG.info("machine failed: machine={}", machine.name());
            instance.terminate();
            cluster.freeCapacity().update(machine);
        }
    }

    private void updateProperties(Machine machine, CloudMessages.ListedMachine listed) {
        machine.setAddress(machine.address().isEmpty() ? listed.address() : machine.address());
        machine.setTypeName(listed.type());
        machine.setType(cluster.machineType(listed.type()));
        machine.setSpot(listed.spot());
        cluster.setZone(machine, listed.zone());
    }
}
