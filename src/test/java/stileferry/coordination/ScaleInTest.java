package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests that idle machines are deleted, each with a single request. */
class ScaleInTest {
    /** Guards against counting deleted machines as booting because the cloud's lagging list still names them. */
    @Test
    void aDeletedMachineIsNotCountedAsBooting() {
        SimulatedCluster cluster = new SimulatedCluster(8);
        SplittableRandom random = cluster.random.split();
        cluster.runFor(3);
        cluster.submit(Workloads.random(1, random));
        cluster.runFor(200);
        assertEquals(List.of(), cluster.cloud.runningMachines(), "all idle machines must be deleted");
        int deletions = cluster.cloud.deletionRequestCount();
        cluster.runFor(60);
        assertEquals(deletions, cluster.cloud.deletionRequestCount(), "deleted machines must not be deleted again");
        assertTrue(deletions > 0 && deletions <= 5, deletions + " deletions");
    }
}
