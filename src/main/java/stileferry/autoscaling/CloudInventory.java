package stileferry.autoscaling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Machine;
import stileferry.protocol.CloudMessages;
import stileferry.protocol.Environment;

/** Reads the cloud's list of machines again and again. It lags, so what it lacks proves nothing. */
final class CloudInventory {
    private static final Logger LOG = LoggerFactory.getLogger("cloud");

    private static final long LEAST_PAUSE_MS = 2000;
    private static final long PAGE_PAUSE_MS = 100;

    /** The share of the cloud's rate that reading the list may take. */
    private static final double MOST_OF_RATE = 0.5;

    private final ClusterState cluster;
    private final Environment environment;
    private final CloudClient cloud;
    private final Runnable firstRead;
    private boolean listing;
    private long listedAt = -1;
    private boolean listedOnce;

    /** Pages of the last list. */
    private int pages;

    /** The action runs when the list has been read for the first time. */
    CloudInventory(ClusterState cluster, Environment environment, CloudClient cloud, Runnable firstRead) {
        this.cluster = cluster;
        this.environment = environment;
        this.cloud = cloud;
        this.firstRead = firstRead;
    }

    /** Whether the list has been read in this term. */
    boolean known() {
        return listedOnce;
    }

    /** Reads the list again when it is time. */
    void list() {
        long now = environment.now();
        long pagesMs = Math.round(pages * 1000 / (cluster.settings().cloud().requestsPerS() * MOST_OF_RATE));
        long every = Math.max(
                LEAST_PAUSE_MS,
                Math.max(pagesMs, Math.round(cluster.settings().cloud().listLagS() * 500)));
        if (!listing && (listedAt < 0 || now - listedAt > every) && cloud.mayCall()) {
            listing = true;
            pages = 0;
            page("", new ArrayList<>());
        }
    }

    /**
     * Reads the next page when the cloud's rate allows it. A list of thousands of machines has more pages than the
     * cloud takes calls at once: sent in a row, some were refused, and the list was never read to its end.
     */
    private void nextPage(String from, List<CloudMessages.ListedMachine> seen) {
        if (cloud.mayCall()) {
            page(from, seen);
        } else {
            environment.schedule(PAGE_PAUSE_MS, () -> nextPage(from, seen));
        }
    }

    private void page(String from, List<CloudMessages.ListedMachine> seen) {
        pages++;
        cloud.call("GET", "/hosts?most=500" + (from.isEmpty() ? "" : "&from=" + from), null, (status, body) -> {
            if (status != 200 || body == null) {
                listing = false;
                listedAt = environment.now();
                return;
            }
            seen.addAll(CloudMessages.listedMachines(body));
            if (body.path("more").asBoolean() && !seen.isEmpty()) {
                nextPage(seen.get(seen.size() - 1).name(), seen);
                return;
            }
            listing = false;
            listedAt = environment.now();
            compare(seen);
        });
    }

    private void compare(List<CloudMessages.ListedMachine> list) {
        long now = environment.now();
        Set<String> names = new HashSet<>();
        for (CloudMessages.ListedMachine listed : list) {
            if (cluster.deletedMachines().contains(listed.name())) {
                continue; // the list lags behind the deletion
            }
            names.add(listed.name());
            update(listed, now);
        }
        for (Machine machine : cluster.machines().values()) {
            if (machine.instance().listed()
                    && !names.contains(machine.name())
                    && machine.instance().missingSince() == 0) {
                machine.instance().markMissing(now);
            }
        }
        if (!listedOnce) {
            listedOnce = true;
            firstRead.run();
        }
    }

    private void update(CloudMessages.ListedMachine listed, long now) {
        Machine machine = cluster.machine(listed.name());
        machine.instance().markListed();
        if (machine.type() == null || machine.address().isEmpty()) {
            machine.setAddress(machine.address().isEmpty() ? listed.address() : machine.address());
            machine.setTypeName(listed.type());
            machine.setType(cluster.machineType(listed.type()));
            machine.setSpot(listed.spot());
            cluster.setZone(machine, listed.zone());
        }
        if (machine.instance().requestedAt() == 0) {
            machine.instance().setRequestedAt(now - Math.round(listed.ageS() * 1000));
        }
        if (!machine.agent().heardThisTerm()) {
            machine.instance().setBooting(listed.state().equals("booting"));
        }
        if (listed.state().equals("failed") && !machine.instance().terminating()) {
            LOG.info("machine {} has failed", machine.name());
            machine.instance().terminate();
            cluster.freeCapacity().update(machine);
        }
    }
}
