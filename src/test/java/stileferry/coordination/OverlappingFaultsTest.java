package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Faults that overlap, each scenario brought about on purpose; every invariant is checked at every step. */
class OverlappingFaultsTest {
    private static final long[] SEEDS =
            LongStream.range(1, 1 + Long.getLong("meetings", 2)).toArray();

    /** Each scenario with two seeds; in the end every job that nobody cancelled has run. */
    @ParameterizedTest
    @EnumSource(FaultScenario.class)
    void invariantsHoldUnderOverlappingFaults(FaultScenario scenario) {
        for (long seed : SEEDS) {
            SimulatedCluster cluster = BusyCluster.withTeamsAtTheirQuotas(seed);
            int before = cluster.tasks.starts;
            scenario.play(cluster);
            assertEquals(List.of(), cluster.violations, "seed " + seed);
            cluster.faults.clear();
            cluster.faults.duplicateHeartbeatRate = 0;
            cluster.faults.endedAt = cluster.now;
            cluster.runFor(150);
            assertEquals(List.of(), cluster.violations, "seed " + seed);
            assertTrue(cluster.tasks.starts > before, "nothing happened");
            for (SimulatedUser user : cluster.users.values()) {
                assertTrue(
                        !user.accepted
                                || user.endState != null
                                || cluster.tasks.running(user) == user.spec.taskCount() && user.spec.isService(),
                        user.spec + " waits after all faults with " + cluster.tasks.running(user) + " tasks, seed "
                                + seed);
            }
        }
    }
}
