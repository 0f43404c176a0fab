package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import stileferry.protocol.Features;

/** A seeded run of a simulated cluster with random jobs and random faults, followed by a recovery period. */
final class ChaosRun {
    private ChaosRun() {}

    static SimulatedCluster run(long seed, double seconds) {
        return run(seed, seconds, cluster -> {});
    }

    /**
     * Runs a cluster with faults for some seconds, and then without faults until all jobs should have ended.
     *
     * @param prepare is applied to the cluster before it runs
     */
    static SimulatedCluster run(long seed, double seconds, Consumer<SimulatedCluster> prepare) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        prepare.accept(cluster);
        SplittableRandom random = cluster.random.split();
        cluster.faults.duplicateHeartbeatRate = seed % 2 == 0 ? 0.1 : 0;
        cluster.after(random.nextLong(Math.round(1000 * seconds)), () -> cluster.store.setLimits(4, 2));
        cluster.runFor(3);
        runWithFaults(cluster, random, seconds);
        cluster.faults.clear();
        cluster.after(45_000, cluster.network::restoreAll); // links that flap may break again until then
        cluster.faults.endedAt = cluster.now;
        cluster.runFor(90); // until every submission has a final response or was given up
        for (SimulatedUser user : List.copyOf(cluster.users.values())) {
            if (user.spec.isService() && user.accepted && !user.cancelRequested) {
                cluster.cancel(user);
            }
        }
        cluster.runFor(200);
        return cluster;
    }

    private static void runWithFaults(SimulatedCluster cluster, SplittableRandom random, double seconds) {
        ChaosFaults faults = new ChaosFaults(cluster, random);
        int jobs = 0;
        for (double at = 0; at < seconds && cluster.violations.isEmpty(); at += 2) {
            if (random.nextInt(3) != 0) {
                cluster.submit(Workloads.random(jobs++, random));
            }
            if (random.nextInt(8) == 0) {
                cancelRandomJob(cluster, random);
            }
            if (random.nextInt(5) == 0) {
                faults.inject();
            }
            cluster.runFor(2);
        }
    }

    private static void cancelRandomJob(SimulatedCluster cluster, SplittableRandom random) {
        List<SimulatedUser> openJobs = cluster.users.values().stream()
                .filter(u -> u.accepted && !u.cancelRequested)
                .toList();
        if (!openJobs.isEmpty()) {
            cluster.cancel(openJobs.get(random.nextInt(openJobs.size())));
        }
    }

    /**
     * Turns features on. For some seeds one controller has none of them, and for some the third one also uses the peer
     * message format of the first version.
     */
    static void mixVersions(SimulatedCluster cluster, long seed, Features features) {
        cluster.features = features;
        if (seed % 3 == 0) {
            cluster.controllersWithoutFeatures.add("n" + seed % 2);
        }
        if (seed % 5 == 0) {
            cluster.controllersWithOldMessageFormat.add("n2");
            cluster.controllersWithoutFeatures.add("n2");
        }
    }

    /** Asserts that no invariant was violated and all accepted jobs have ended, after a run with enough task starts. */
    static void assertAllJobsEnded(SimulatedCluster cluster) {
        assertEquals(List.of(), cluster.violations);
        List<String> openJobs = cluster.users.values().stream()
                .filter(u -> u.accepted && u.endState == null)
                .map(u -> u.spec.toString())
                .toList();
        assertEquals(
                List.of(), openJobs, "accepted jobs that are neither done nor cancelled long after the last fault");
        assertTrue(cluster.tasks.starts > 20, "too little happened: " + cluster.tasks.starts + " task starts");
    }
}
