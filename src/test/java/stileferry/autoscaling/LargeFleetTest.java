package stileferry.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import stileferry.cluster.ClusterState;
import stileferry.coordination.ControllerNode;
import stileferry.coordination.SimulatedCluster;
import stileferry.protocol.MessageCodec;
import stileferry.scheduling.RandomCluster;

/** Checks limits that matter only in a fleet of thousands of machines. */
class LargeFleetTest {
    private static final int PAGE_COUNT = 9;

    /** Late lists and late heartbeats still name deleted machines: the larger the fleet, the more of them. */
    @Test
    void deletedMachinesAreRememberedInProportionToTheFleet() {
        ClusterState cluster = RandomCluster.cluster(4200, new SplittableRandom(5));
        int machines = cluster.machines().size();
        for (int i = 0; i < 2 * machines; i++) {
            cluster.removeDeletedMachine(cluster.getOrAddMachine("gone-" + i));
        }
        assertEquals(2 * machines, cluster.deletedMachines().size());
        for (int i = 0; i < 5 * machines; i++) {
            cluster.removeDeletedMachine(cluster.getOrAddMachine("later-" + i));
        }
        assertTrue(
                cluster.deletedMachines().size() <= 4 * machines + 1,
                cluster.deletedMachines().size() + " deleted machines are remembered");
    }

    /** The list of a large fleet has more pages than the cloud's rate limit allows calls in a burst. */
    @Test
    void listOfManyPagesIsReadCompletelyWithinTheCloudsRateLimit() {
        SimulatedCluster simulation = new SimulatedCluster(9);
        ControllerNode node = simulation.controllers.get("n0");
        node.start();
        simulation.faults.cloudListing = LargeFleetTest::page;
        ClusterState cluster = new ClusterState(node.settings);
        CloudClient cloud = new CloudClient(node.environment, SimulatedCluster.CLOUD, 1.5);
        AtomicInteger firstRefreshes = new AtomicInteger();
        CloudInventory inventory =
                new CloudInventory(cluster, node.environment, cloud, firstRefreshes::incrementAndGet);
        long startedAt = simulation.now;
        for (int i = 0; i < 20 && !inventory.complete(); i++) {
            inventory.refresh();
            simulation.runFor(1);
        }
        assertTrue(inventory.complete(), "the list should be read completely");
        assertEquals(1, firstRefreshes.get(), "the action of the first refresh runs once");
        assertEquals(PAGE_COUNT, cluster.machines().size());
        assertTrue(simulation.now - startedAt > 3000, "reading should stay within the rate limit");
    }

    /** Returns a page of the cloud's list with one machine, which is {@code host-0} on the first page. */
    private static ObjectNode page(String path) {
        int number = path.contains("from=") ? Integer.parseInt(path.replaceAll(".*host-", "")) + 1 : 0;
        ObjectNode page = MessageCodec.map();
        page.putArray("fleet")
                .addObject()
                .put("name_id", "host-" + number)
                .put("addr", "")
                .put("hull", "box")
                .put("harbor", "za")
                .put("tender", false)
                .put("tide", "booting")
                .put("age_s", 1.0);
        return page.put("more", number + 1 < PAGE_COUNT);
    }
}
