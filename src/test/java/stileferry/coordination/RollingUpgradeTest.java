package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.InvariantsUnderFaultsTest.array;
import static stileferry.coordination.InvariantsUnderFaultsTest.restart;
import static stileferry.coordination.InvariantsUnderFaultsTest.service;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.protocol.JobSpec;

/**
 * Controllers are replaced one by one, and back again, while they serve. The older ones are this version's code with
 * the records of the first one, which is where the forms differ; the stored forms are the same.
 */
class RollingUpgradeTest {
    private static final int LOWER_OPERATIONS = 4;
    private static final double LOWER_VALUE_KB = 2;

    private static SimulatedCluster servedByTheFormerVersion(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed);
        w.formerForm.addAll(w.nodes.keySet());
        w.play(3);
        w.submit(service(1, 2, 2));
        w.submit(service(2, 2, 2));
        for (int i = 3; i < 7; i++) {
            w.submit(gang(i, 4, 40));
        }
        w.play(25);
        return w;
    }

    private static JobSpec gang(int number, int tasks, double runS) {
        return new JobSpec(
                "job-" + number,
                "any",
                "free",
                JobSpec.Kind.GANG,
                JobSpec.Priority.URGENT,
                tasks,
                1,
                0,
                1,
                "img",
                1,
                null,
                null,
                true,
                false,
                false,
                runS,
                3,
                1,
                -1);
    }

    /** Ends a controller's process; the next one is of the other version. */
    private static void replace(SimulatedCluster w, SimulatedCluster.Node node, long afterMs) {
        String name = node.settings.controllerName();
        if (node.up()) {
            node.crash();
            w.after(afterMs, () -> {
                if (!w.formerForm.remove(name)) {
                    w.formerForm.add(name);
                }
                node.start();
            });
        }
    }

    private static void workAndCancellations(SimulatedCluster w, int from, SplittableRandom random) {
        w.submit(gang(from, 2 + random.nextInt(4), 2 + random.nextInt(8)));
        w.submit(array(from + 1, "any", JobSpec.Priority.NORMAL, 1 + random.nextInt(20), 3));
        SimulatedCluster.User cancelled = w.submit(gang(from + 2, 3, 60));
        w.after(random.nextLong(8000), () -> w.cancel(cancelled));
    }

    private static void finishAll(SimulatedCluster w) {
        w.quietSince = w.now;
        w.play(60);
        w.users.values().stream().filter(u -> u.spec.service()).toList().forEach(w::cancel);
        w.play(120);
        assertEquals(List.of(), w.violations);
        assertEquals(
                List.of(),
                w.users.values().stream()
                        .filter(u -> u.accepted && u.end == null)
                        .map(u -> u.spec.id())
                        .toList());
    }

    /** The roll forward and back, with processes that end before their turn and come back as they were. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void bothVersionsTakeTurnsAtLeading(long seed) {
        SimulatedCluster w = servedByTheFormerVersion(seed);
        SplittableRandom random = w.random.split();
        Set<String> ledBy = new TreeSet<>();
        List<SimulatedCluster.Node> nodes = List.copyOf(w.nodes.values());
        for (int step = 0; step < 12; step++) {
            workAndCancellations(w, 100 + 10 * step, random);
            SimulatedCluster.Node leader = w.leader();
            if (leader != null) {
                ledBy.add(w.formerForm.contains(leader.settings.controllerName()) ? "former" : "this");
            }
            if (random.nextInt(4) == 0 && leader != null) {
                restart(w, leader, random.nextBoolean() ? 200 : 3000);
            } else {
                replace(w, step % 2 == 0 && leader != null ? leader : nodes.get(step % 3), 200 + random.nextLong(4000));
            }
            w.play(5 + random.nextInt(5));
        }
        assertEquals(Set.of("former", "this"), ledBy);
        finishAll(w);
    }

    /** The state service lowers its limits at once, also before the last process was replaced. */
    @ParameterizedTest
    @ValueSource(ints = {0, 3, 6, 10, 14, 20})
    void theLimitsAreLoweredDuringOrAfterTheRoll(int afterS) {
        SimulatedCluster w = servedByTheFormerVersion(20 + afterS);
        SplittableRandom random = w.random.split();
        w.after(1000L * afterS, () -> w.state.setLimits(LOWER_OPERATIONS, LOWER_VALUE_KB));
        int step = 0;
        for (SimulatedCluster.Node node : w.nodes.values()) {
            workAndCancellations(w, 100 + 10 * step++, random);
            replace(w, node, 1500);
            w.play(5);
        }
        assertTrue(w.formerForm.isEmpty());
        for (int i = 0; i < 4; i++) {
            workAndCancellations(w, 200 + 10 * i, random);
            w.play(3);
        }
        restart(w, w.leader(), 300);
        finishAll(w);
    }
}
