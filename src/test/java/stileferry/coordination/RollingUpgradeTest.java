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
 * Tests rolling upgrades and downgrades under load. Controllers of the older version run this version's code with the
 * first version's format of peer messages and with one fencing token for each term, so without direct starts; the
 * formats of stored data are the same.
 */
class RollingUpgradeTest {
    private static final int LOWERED_TXN_OPS = 4;
    private static final double LOWERED_VALUE_KB = 2;

    private static SimulatedCluster withFirstVersionControllers(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        cluster.controllersWithOldMessageFormat.addAll(cluster.controllers.keySet());
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

    /** Crashes a controller's process and, after a delay, starts one of the other version. */
    private static void replace(SimulatedCluster cluster, ControllerNode node, long delayMs) {
        String name = node.name();
        if (node.up()) {
            node.crash();
            cluster.after(delayMs, () -> {
                if (!cluster.controllersWithOldMessageFormat.remove(name)) {
                    cluster.controllersWithOldMessageFormat.add(name);
                }
                node.start();
            });
        }
    }

    private static void submitJobsAndCancelOne(SimulatedCluster cluster, int firstNumber, SplittableRandom random) {
        cluster.submit(gang(firstNumber, 2 + random.nextInt(4), 2 + random.nextInt(8)));
        cluster.submit(array(firstNumber + 1, 1 + random.nextInt(20), 3));
        SimulatedUser cancelled = cluster.submit(gang(firstNumber + 2, 3, 60));
        cluster.after(random.nextLong(8000), () -> cluster.cancel(cancelled));
    }

    private static void assertAllJobsFinish(SimulatedCluster cluster) {
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

    /** Upgrades and downgrades; in between, leaders crash and restart with their current version. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void jobsFinishWhileLeadershipAlternatesBetweenVersions(long seed) {
        alternateBetweenVersions(withFirstVersionControllers(seed));
    }

    /** The same, while requests arrive again after their answers, also those of leaders of the other version. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16})
    void jobsFinishWhileLeadershipAlternatesAndRequestsAreRepeated(long seed) {
        SimulatedCluster cluster = withFirstVersionControllers(seed);
        cluster.repeatedRequests.rate = 0.3;
        alternateBetweenVersions(cluster);
    }

    private static void alternateBetweenVersions(SimulatedCluster cluster) {
        SplittableRandom random = cluster.random.split();
        Set<String> leaderVersions = new TreeSet<>();
        List<ControllerNode> nodes = List.copyOf(cluster.controllers.values());
        for (int step = 0; step < 12; step++) {
            submitJobsAndCancelOne(cluster, 100 + 10 * step, random);
            ControllerNode leader = cluster.leader();
            if (leader != null) {
                leaderVersions.add(cluster.controllersWithOldMessageFormat.contains(leader.name()) ? "former" : "this");
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
        assertEquals(Set.of("former", "this"), leaderVersions);
        assertAllJobsFinish(cluster);
    }

    /** The key-value store lowers its limits abruptly, in some runs before the last process was replaced. */
    @ParameterizedTest
    @ValueSource(ints = {0, 3, 6, 10, 14, 20})
    void jobsFinishIfStoreLimitsAreLoweredDuringOrAfterTheUpgrade(int afterS) {
        SimulatedCluster cluster = withFirstVersionControllers(20 + afterS);
        SplittableRandom random = cluster.random.split();
        cluster.after(1000L * afterS, () -> cluster.store.setLimits(LOWERED_TXN_OPS, LOWERED_VALUE_KB));
        int step = 0;
        for (ControllerNode node : cluster.controllers.values()) {
            submitJobsAndCancelOne(cluster, 100 + 10 * step++, random);
            replace(cluster, node, 1500);
            cluster.runFor(5);
        }
        assertTrue(cluster.controllersWithOldMessageFormat.isEmpty());
        for (int i = 0; i < 4; i++) {
            submitJobsAndCancelOne(cluster, 200 + 10 * i, random);
            cluster.runFor(3);
        }
        cluster.faults.restart(cluster.leader(), 300);
        assertAllJobsFinish(cluster);
    }
}
