package stileferry.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import stileferry.cluster.ClusterState;
import stileferry.coordination.ControllerNode;
import stileferry.coordination.SimulatedCluster;
import stileferry.protocol.MessageCodec;
import stileferry.scheduling.RandomCluster;

/** What a fleet of 4,000 machines needs of limits that smaller ones never met. */
class LargeFleetTest {
    /** Late lists and late reports name machines that are gone: a large fleet leaves more of them than a small one. */
    @Test
    void deletedMachinesAreRememberedInProportionToTheFleet() {
        ClusterState cluster = RandomCluster.cluster(4200, new SplittableRandom(5));
        int there = cluster.machines().size();
        for (int i = 0; i < 2 * there; i++) {
            cluster.forget(cluster.machine("gone-" + i));
        }
        assertEquals(2 * there, cluster.deletedMachines().size());
        for (int i = 0; i < 5 * there; i++) {
            cluster.forget(cluster.machine("later-" + i));
        }
        assertTrue(
                cluster.deletedMachines().size() <= 4 * there + 1,
                cluster.deletedMachines().size() + " are remembered");
    }

    /** Found by reading for 4,000 machines: pages sent in a row were refused, so the list was never read whole. */
    @Test
    void aListOfManyPagesIsReadWithinTheCloudsRate() {
        SimulatedCluster w = new SimulatedCluster(9);
        ControllerNode node = w.controllers.get("n0");
        node.start();
        int pages = 9;
        w.faults.cloudListing = path -> {
            ObjectNode page = MessageCodec.map();
            int number = path.contains("from=") ? Integer.parseInt(path.replaceAll(".*host-", "")) + 1 : 0;
            page.putArray("fleet")
                    .addObject()
                    .put("name_id", "host-" + number)
                    .put("addr", "")
                    .put("hull", "box")
                    .put("harbor", "za")
                    .put("tender", false)
                    .put("tide", "booting")
                    .put("age_s", 1.0);
            return page.put("more", number + 1 < pages);
        };
        ClusterState cluster = new ClusterState(node.settings);
        CloudClient cloud = new CloudClient(node.environment, SimulatedCluster.CLOUD, 1.5);
        long from = w.now;
        boolean[] read = new boolean[1];
        CloudInventory list = new CloudInventory(cluster, node.environment, cloud, () -> read[0] = true);
        for (int i = 0; i < 20 && !read[0]; i++) {
            list.refresh();
            w.runFor(1);
        }
        assertTrue(read[0], "the list was read to its end");
        assertEquals(pages, cluster.machines().size());
        assertTrue(w.now - from > 3000, "within the rate");
    }
}
