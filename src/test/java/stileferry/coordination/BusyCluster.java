package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;

/** Creates simulated clusters with running work for tests to inject faults into, and checks recovery afterwards. */
final class BusyCluster {
    private static final List<String> TEAMS = List.of("red", "blue", "free");

    private BusyCluster() {}

    /** Returns a cluster that runs six long job arrays and two services, of two tasks each. */
    static SimulatedCluster withLongJobs(long seed) {
        SimulatedCluster cluster = SimulatedCluster.started(seed);
        for (int i = 0; i < 6; i++) {
            cluster.submit(Workloads.array(i, 2, 300));
        }
        cluster.submit(Workloads.service(6, 2, 2));
        cluster.submit(Workloads.service(7, 2, 2));
        cluster.runFor(25);
        assertEquals(16, cluster.tasks.running());
        return cluster;
    }

    /**
     * Returns a cluster with work of three teams, two of them at their quotas: services, job arrays of a few tasks, and
     * jobs bound to one zone.
     */
    static SimulatedCluster withTeamsAtTheirQuotas(long seed) {
        SimulatedCluster cluster = SimulatedCluster.started(seed);
        for (int i = 0; i < 24; i++) {
            cluster.submit(i % 4 == 3 ? service(i) : array(i));
        }
        cluster.runFor(25);
        assertTrue(cluster.tasks.running() > 20, cluster.tasks.running() + " tasks run, expected more than 20");
        return cluster;
    }

    private static JobSpecBuilder withVariedRequirements(JobSpecBuilder job, int number) {
        boolean boundToZone = number % 5 == 0;
        return job.team(TEAMS.get(number % 3))
                .tasks(2 + number % 2)
                .cpus(2)
                .image("img" + number % 3)
                .zone(boundToZone ? number % 2 == 0 ? "za" : "zb" : null)
                .oneZone(number % 6 == 0);
    }

    private static JobSpec service(int number) {
        return withVariedRequirements(JobSpecBuilder.service(number), number)
                .spreadAcrossZones(number % 5 != 0)
                .build();
    }

    private static JobSpec array(int number) {
        return withVariedRequirements(JobSpecBuilder.array(number), number)
                .priority(number % 2 == 0 ? JobSpec.Priority.NORMAL : JobSpec.Priority.IDLE)
                .allowsSpot(number % 7 != 0)
                .runS(3 + number % 10 * 4)
                .build();
    }

    /** Runs for 90 s after the last fault; asserts that no invariant is violated and at least four tasks run. */
    static void assertRecovers(SimulatedCluster cluster) {
        cluster.faults.endedAt = cluster.now;
        cluster.runFor(90);
        assertEquals(List.of(), cluster.violations);
        assertTrue(cluster.tasks.running() >= 4, "tasks that were not cancelled must run: " + cluster.tasks.running());
    }
}
