package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.Workloads.array;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Transactions that are answered late or not at all apply once. */
class CommitRetriesTest {
    /** One-task jobs, four a second, a quarter of them cancelled, some at once. */
    private static void runOneTaskJobs(SimulatedCluster cluster, int from, double seconds) {
        SplittableRandom random = cluster.random.split();
        for (int i = 0; i < seconds * 4; i++) {
            SimulatedUser user = cluster.submit(array(from + i, 1, 1 + random.nextInt(3)));
            if (i % 4 == 3) {
                cluster.after(random.nextLong(3000), () -> cluster.cancel(user));
            }
            cluster.runFor(0.25);
        }
    }

    /**
     * Transactions without an answer are carried out late, after newer ones, or at once with only the answer lost,
     * while one-task jobs come four a second. Guards against a late acceptance that is carried out once more after its
     * job has ended, so that the next leader takes the job for a pending one.
     */
    @ParameterizedTest
    @CsvSource({"201,0.4,0", "202,0.4,0", "203,0.2,0.2", "204,0,0.4", "205,0.5,0"})
    void lateAndUnansweredCommitsApplyOnce(long seed, double late, double unanswered) {
        SimulatedCluster cluster = BusyCluster.withLongJobs(seed);
        cluster.faults.lateCommitRate = late;
        cluster.faults.unansweredCommitRate = unanswered;
        runOneTaskJobs(cluster, 100, 40);
        cluster.faults.lateCommitRate = 0;
        cluster.faults.unansweredCommitRate = 0;
        cluster.runFor(15);
        cluster.faults.restart(cluster.leader(), 300);
        cluster.runFor(40);
        assertEquals(List.of(), cluster.violations);
        assertTrue(cluster.users.completedJobs > 100, cluster.users.completedJobs + " jobs are over");
        BusyCluster.assertRecovers(cluster);
    }
}
