package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.Workloads.array;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import stileferry.protocol.JobSpec;

/** Tests the fair shares of teams while demand exceeds capacity. */
class FairShareUnderOverloadTest {
    /** For five minutes demand is twice the capacity, and the class of higher priority alone exceeds the capacity. */
    @Test
    void noJobStarvesWhenDemandExceedsCapacity() {
        SimulatedCluster cluster = new SimulatedCluster(36);
        SplittableRandom random = cluster.random.split();
        cluster.runFor(3);
        int jobs = 0;
        for (int second = 0; second < 300; second += 5) {
            boolean largeJob = jobs % 12 == 0;
            cluster.submit(array(jobs++, "day", JobSpec.Priority.NORMAL, largeJob ? 40 : 8 + random.nextInt(6), 40));
            cluster.submit(array(jobs++, "night", JobSpec.Priority.IDLE, largeJob ? 30 : 1 + random.nextInt(4), 40));
            cluster.runFor(5);
        }
        cluster.runFor(240);
        for (SimulatedUser user : cluster.users.values()) {
            assertTrue(
                    user.startedAt > 0 && user.startedAt - user.submittedAt < 240_000,
                    user.spec.id() + " of " + user.spec.jobClass() + " with " + user.spec.taskCount()
                            + " tasks started after " + (user.startedAt - user.submittedAt) / 1000 + " s");
        }
        assertEquals(List.of(), cluster.violations);
    }
}
