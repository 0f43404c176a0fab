package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import stileferry.protocol.Features;

/** Set-up, measurements and final checks for tests of link faults between controllers, workers and the store. */
final class LinkFaultCluster {
    /** Controllers monitor their links, and a leader with broken links hands leadership over. */
    static final Features LINK_MONITORING = new Features(true, false);

    private LinkFaultCluster() {}

    /** Returns a cluster with an elected leader that runs services and long job arrays, 12 tasks in all. */
    static SimulatedCluster withLongJobs(long seed, Features features) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        cluster.features = features;
        cluster.runFor(3);
        for (int i = 0; i < 4; i++) {
            cluster.submit(Workloads.array(i, 2, 300));
        }
        cluster.submit(Workloads.service(6, 2, 1));
        cluster.submit(Workloads.service(7, 2, 1));
        cluster.runFor(30);
        assertEquals(12, cluster.tasks.running());
        return cluster;
    }

    /**
     * Restores all links and asserts that 90 s later all accepted work runs or is done, and no invariant is violated.
     */
    static void assertRecovered(SimulatedCluster cluster) {
        cluster.network.restoreAll();
        cluster.faults.endedAt = cluster.now;
        cluster.runFor(90);
        assertEquals(List.of(), cluster.violations);
        for (SimulatedUser user : cluster.users.values()) {
            if (user.accepted && user.endState == null) {
                assertEquals(
                        user.spec.taskCount() - user.tasksDone.size(),
                        cluster.tasks.running(user),
                        user.spec.id() + ": all tasks that are not done must run");
            }
        }
    }

    /** Runs the cluster for some seconds and returns the number of tasks that ended meanwhile. */
    static int taskEndsDuring(SimulatedCluster cluster, double seconds) {
        int endsBefore = cluster.tasks.ends;
        cluster.runFor(seconds);
        assertEquals(List.of(), cluster.violations);
        return cluster.tasks.ends - endsBefore;
    }

    /** Submits a job and returns the seconds until it runs, or {@code maxS} if it does not run within that time. */
    static double secondsToStart(SimulatedCluster cluster, int number, double maxS) {
        SimulatedUser user = cluster.submit(Workloads.service(number, 1, 1));
        long submittedAt = cluster.now;
        while (user.startedAt == 0 && cluster.now - submittedAt < maxS * 1000 && cluster.violations.isEmpty()) {
            cluster.runFor(0.1);
        }
        assertEquals(List.of(), cluster.violations);
        return user.startedAt == 0 ? maxS : (user.startedAt - submittedAt) / 1000.0;
    }
}
