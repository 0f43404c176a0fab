package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Machines that nobody needs are deleted, once each. */
class ScaleInTest {
    /** Guards against deleted machines that the lagging list still names and that then count as booting. */
    @Test
    void aDeletedMachineIsNotCountedAsBooting() {
        SimulatedCluster cluster = new SimulatedCluster(8);
        SplittableRandom random = cluster.random.split();
        cluster.runFor(3);
        cluster.submit(Workloads.random(1, random));
        cluster.runFor(200);
        assertEquals(List.of(), cluster.cloud.runningMachines(), "nothing to do, so all machines are returned");
        int deletions = cluster.cloud.deletionRequestCount();
        cluster.runFor(60);
        assertEquals(deletions, cluster.cloud.deletionRequestCount(), "what is gone is returned once");
        assertTrue(deletions > 0 && deletions <= 5, deletions + " deletions");
    }
}
