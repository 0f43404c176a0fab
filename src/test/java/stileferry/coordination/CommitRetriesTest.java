package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.Workloads.array;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that transactions that are executed late or whose response is lost take effect exactly once. */
class CommitRetriesTest {
    /** Submits four one-task jobs per second and cancels a quarter of them within 3 s. */
    private static void runOneTaskJobs(SimulatedCluster cluster, int firstNumber, double seconds) {
        SplittableRandom random = cluster.random.split();
        for (int i = 0; i < seconds * 4; i++) {
            SimulatedUser user = cluster.submit(array(firstNumber + i, 1, 1 + random.nextInt(3)));
            if (i % 4 == 3) {
                cluster.after(random.nextLong(3000), () -> cluster.cancel(user));
            }
            cluster.runFor(0.25);
        }
    }

    /**
     * Some transactions are executed late, after newer ones, or immediately with their response lost, while four
     * one-task jobs per second are submitted. Guards against a late transaction that stores a job's acceptance again
     * after the job has ended, so that the next leader takes the job for a pending one.
     */
    @ParameterizedTest
    @CsvSource({"201,0.4,0", "202,0.4,0", "203,0.2,0.2", "204,0,0.4", "205,0.5,0"})
    void lateAndUnansweredCommitsApplyOnce(long seed, double lateRate, double unansweredRate) {
        SimulatedCluster cluster = BusyCluster.withLongJobs(seed);
        cluster.faults.lateCommitRate = lateRate;
        cluster.faults.unansweredCommitRate = unansweredRate;
        runOneTaskJobs(cluster, 100, 40);
        cluster.faults.lateCommitRate = 0;
        cluster.faults.unansweredCommitRate = 0;
        cluster.runFor(15);
        cluster.faults.restart(cluster.leader(), 300);
        cluster.runFor(40);
        assertEquals(List.of(), cluster.violations);
        assertTrue(cluster.users.completedJobs > 100, cluster.users.completedJobs + " completed jobs are too few");
        BusyCluster.assertRecovers(cluster);
    }
}
