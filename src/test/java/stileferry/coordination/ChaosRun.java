package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import stileferry.protocol.Features;

/** A seeded run of a simulated cluster with users at work and random faults, until all is quiet again at the end. */
final class ChaosRun {
    private ChaosRun() {}

    static SimulatedCluster play(long seed, double seconds) {
        return play(seed, seconds, cluster -> {});
    }

    /** Plays so many seconds with faults, and then until all jobs should be over. */
    static SimulatedCluster play(long seed, double seconds, Consumer<SimulatedCluster> prepare) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        prepare.accept(cluster);
        SplittableRandom random = cluster.random.split();
        cluster.faults.duplicateHeartbeatRate = seed % 2 == 0 ? 0.1 : 0;
        cluster.after(random.nextLong(Math.round(1000 * seconds)), () -> cluster.store.setLimits(4, 2));
        cluster.runFor(3);
        playFaults(cluster, random, seconds);
        cluster.faults.clear();
        cluster.after(45_000, cluster.network::restoreAll); // links that flap
        cluster.faults.endedAt = cluster.now;
        cluster.runFor(90); // until every submission has been answered or given up
        for (SimulatedUser user : List.copyOf(cluster.users.values())) {
            if (user.spec.isService() && user.accepted && !user.cancelRequested) {
                cluster.cancel(user);
            }
        }
        cluster.runFor(200);
        return cluster;
    }

    private static void playFaults(SimulatedCluster cluster, SplittableRandom random, double seconds) {
        ChaosFaults faults = new ChaosFaults(cluster, random);
        int jobs = 0;
        for (double at = 0; at < seconds && cluster.violations.isEmpty(); at += 2) {
            if (random.nextInt(3) != 0) {
                cluster.submit(Workloads.random(jobs++, random));
            }
            if (random.nextInt(8) == 0) {
                cancelAny(cluster, random);
            }
            if (random.nextInt(5) == 0) {
                faults.inject();
            }
            cluster.runFor(2);
        }
    }

    private static void cancelAny(SimulatedCluster cluster, SplittableRandom random) {
        List<SimulatedUser> open = cluster.users.values().stream()
                .filter(u -> u.accepted && !u.cancelRequested)
                .toList();
        if (!open.isEmpty()) {
            cluster.cancel(open.get(random.nextInt(open.size())));
        }
    }

    /**
     * Turns features on; on some runs one controller has none, and on some the third one has the first version's form
     * of records.
     */
    static void mixVersions(SimulatedCluster cluster, long seed, Features features) {
        cluster.features = features;
        if (seed % 3 == 0) {
            cluster.controllersWithoutFeatures.add("n" + seed % 2);
        }
        if (seed % 5 == 0) {
            cluster.formerRecordFormat.add("n2");
            cluster.controllersWithoutFeatures.add("n2");
        }
    }

    /** No invariant was violated, and nothing is left to do. */
    static void assertAllJobsEnded(SimulatedCluster cluster) {
        assertEquals(List.of(), cluster.violations);
        List<String> open = cluster.users.values().stream()
                .filter(u -> u.accepted && u.endState == null)
                .map(u -> u.spec.toString())
                .toList();
        assertEquals(List.of(), open, "jobs that are neither done nor cancelled long after the last fault");
        assertTrue(cluster.tasks.starts > 20, "too little happened: " + cluster.tasks.starts + " starts");
    }
}
