package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.Workloads.array;
import static stileferry.coordination.Workloads.service;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;

/**
 * Rolling upgrades and downgrades while the controllers serve. The older ones are this version's code with the first
 * version's form of records between controllers; the stored forms are the same.
 */
class RollingUpgradeTest {
    private static final int LOWER_OPERATIONS = 4;
    private static final double LOWER_VALUE_KB = 2;

    private static SimulatedCluster servedByTheFormerVersion(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        cluster.formerRecordFormat.addAll(cluster.controllers.keySet());
        cluster.runFor(3);
        cluster.submit(service(1, 2, 2));
        cluster.submit(service(2, 2, 2));
        for (int i = 3; i < 7; i++) {
            cluster.submit(gang(i, 4, 40));
        }
        cluster.runFor(25);
        return cluster;
    }

    private static JobSpec gang(int number, int tasks, double runS) {
        return JobSpecBuilder.gang(number)
                .priority(JobSpec.Priority.URGENT)
                .tasks(tasks)
                .oneZone(true)
                .runS(runS)
                .checkpoints(3, 1)
                .build();
    }

    /** Ends a controller's process; the next one is of the other version. */
    private static void replace(SimulatedCluster cluster, ControllerNode node, long afterMs) {
        String name = node.name();
        if (node.up()) {
            node.crash();
            cluster.after(afterMs, () -> {
                if (!cluster.formerRecordFormat.remove(name)) {
                    cluster.formerRecordFormat.add(name);
                }
                node.start();
            });
        }
    }

    private static void workAndCancellations(SimulatedCluster cluster, int from, SplittableRandom random) {
        cluster.submit(gang(from, 2 + random.nextInt(4), 2 + random.nextInt(8)));
        cluster.submit(array(from + 1, 1 + random.nextInt(20), 3));
        SimulatedUser cancelled = cluster.submit(gang(from + 2, 3, 60));
        cluster.after(random.nextLong(8000), () -> cluster.cancel(cancelled));
    }

    private static void finishAll(SimulatedCluster cluster) {
        cluster.faults.endedAt = cluster.now;
        cluster.runFor(60);
        cluster.users.values().stream().filter(u -> u.spec.isService()).toList().forEach(cluster::cancel);
        cluster.runFor(120);
        assertEquals(List.of(), cluster.violations);
        assertEquals(
                List.of(),
                cluster.users.values().stream()
                        .filter(u -> u.accepted && u.endState == null)
                        .map(u -> u.spec.id())
                        .toList());
    }

    /** The upgrade and the way back, with processes that crash before their turn and restart as they were. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void leadershipAlternatesBetweenVersions(long seed) {
        SimulatedCluster cluster = servedByTheFormerVersion(seed);
        SplittableRandom random = cluster.random.split();
        Set<String> ledBy = new TreeSet<>();
        List<ControllerNode> nodes = List.copyOf(cluster.controllers.values());
        for (int step = 0; step < 12; step++) {
            workAndCancellations(cluster, 100 + 10 * step, random);
            ControllerNode leader = cluster.leader();
            if (leader != null) {
                ledBy.add(cluster.formerRecordFormat.contains(leader.name()) ? "former" : "this");
            }
            if (random.nextInt(4) == 0 && leader != null) {
                cluster.faults.restart(leader, random.nextBoolean() ? 200 : 3000);
            } else {
                replace(
                        cluster,
                        step % 2 == 0 && leader != null ? leader : nodes.get(step % 3),
                        200 + random.nextLong(4000));
            }
            cluster.runFor(5 + random.nextInt(5));
        }
        assertEquals(Set.of("former", "this"), ledBy);
        finishAll(cluster);
    }

    /** The key-value store lowers its limits at once, also before the last process was replaced. */
    @ParameterizedTest
    @ValueSource(ints = {0, 3, 6, 10, 14, 20})
    void storeLimitsAreLoweredDuringOrAfterTheUpgrade(int afterS) {
        SimulatedCluster cluster = servedByTheFormerVersion(20 + afterS);
        SplittableRandom random = cluster.random.split();
        cluster.after(1000L * afterS, () -> cluster.store.setLimits(LOWER_OPERATIONS, LOWER_VALUE_KB));
        int step = 0;
        for (ControllerNode node : cluster.controllers.values()) {
            workAndCancellations(cluster, 100 + 10 * step++, random);
            replace(cluster, node, 1500);
            cluster.runFor(5);
        }
        assertTrue(cluster.formerRecordFormat.isEmpty());
        for (int i = 0; i < 4; i++) {
            workAndCancellations(cluster, 200 + 10 * i, random);
            cluster.runFor(3);
        }
        cluster.faults.restart(cluster.leader(), 300);
        finishAll(cluster);
    }
}
