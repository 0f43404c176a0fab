package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs scripted scenarios of overlapping faults, in which all invariants are checked continuously. */
class OverlappingFaultsTest {
    private static final long[] SEEDS =
            LongStream.range(1, 1 + Long.getLong("meetings", 2)).toArray();

    /**
     * Runs each scenario with two seeds by default; afterwards every accepted job must have ended, or be a
     * service with all of its tasks running.
     */
    @ParameterizedTest
    @EnumSource(FaultScenario.class)
    void invariantsHoldUnderOverlappingFaults(FaultScenario scenario) {
        for (long seed : SEEDS) {
            SimulatedCluster cluster = BusyCluster.withTeamsAtTheirQuotas(seed);
            int startsBefore = cluster.tasks.starts;
            scenario.run(cluster);
            assertEquals(List.of(), cluster.violations, "seed " + seed);
            cluster.faults.clear();
            cluster.faults.duplicateHeartbeatRate = 0;
            cluster.faults.endedAt = cluster.now;
            cluster.runFor(150);
            assertEquals(List.of(), cluster.violations, "seed " + seed);
            assertTrue(cluster.tasks.starts > startsBefore, "no task started during the scenario");
            for (SimulatedUser user : cluster.users.values()) {
                assertTrue(
                        !user.accepted
                                || user.endState != null
                                || cluster.tasks.running(user) == user.spec.taskCount() && user.spec.isService(),
                        user.spec + " waits after the last fault with " + cluster.tasks.running(user) + " tasks, seed "
                                + seed);
            }
        }
    }
}
