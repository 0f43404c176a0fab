package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import stileferry.protocol.Features;

/** What tests of links between controllers, workers and the key-value store begin with, measure, and end with. */
final class LinkFaultCluster {
    /** Links are monitored, and leadership is handed over where they break. */
    static final Features LINK_MONITORING = new Features(true, false);

    private LinkFaultCluster() {}

    /** Services and long arrays run, and somebody leads. */
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

    /** After the faults all that was submitted runs or is done, and no invariant is violated. */
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
                        user.spec.id() + " runs whole");
            }
        }
    }

    /** How many tasks end in so many seconds. */
    static int taskEndsDuring(SimulatedCluster cluster, double seconds) {
        int before = cluster.tasks.ends;
        cluster.runFor(seconds);
        assertEquals(List.of(), cluster.violations);
        return cluster.tasks.ends - before;
    }

    /** How long it takes until a new job runs, in seconds, at most so many. */
    static double secondsToStart(SimulatedCluster cluster, int number, double most) {
        SimulatedUser user = cluster.submit(Workloads.service(number, 1, 1));
        long from = cluster.now;
        while (user.startedAt == 0 && cluster.now - from < most * 1000 && cluster.violations.isEmpty()) {
            cluster.runFor(0.1);
        }
        assertEquals(List.of(), cluster.violations);
        return user.startedAt == 0 ? most : (user.startedAt - from) / 1000.0;
    }
}
