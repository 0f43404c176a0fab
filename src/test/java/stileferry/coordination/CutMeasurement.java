package stileferry.coordination;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.BiConsumer;
import java.util.stream.LongStream;
import stileferry.coordination.SimulatedNetwork.Mode;
import stileferry.protocol.Features;
import stileferry.protocol.JobSpec;
import stileferry.transport.LogLevel;

/**
 * Measures what watching links is worth, in the simulated world, with the feature on and off in pairs of the same seed:
 * {@code java -cp target/stileferry.jar:target/test-classes stileferry.coordination.CutMeasurement}, with JUnit's API
 * on the class path. A cut lasts 40 s; one task is asked for every second meanwhile.
 */
final class CutMeasurement {
    private static final int SEEDS = 10;
    private static final int CUT_S = 40;
    private static final double LATE_S = 5;
    private static final long BUSY_TURN_MS = 20;
    private static final long OVERLOADED_TURN_MS = 45;

    private CutMeasurement() {}

    /** What one cut led to. */
    private record Outcome(double worstS, int late, int restarted, long terms) {}

    private static String name(SimulatedCluster.Node node) {
        return node.settings.controllerName();
    }

    private static void peers(SimulatedCluster w, SimulatedCluster.Node leader, Mode mode) {
        w.nodes.values().stream()
                .filter(n -> n != leader)
                .forEach(n -> w.network.blockBoth(name(leader), name(n), mode));
    }

    private static Outcome play(long seed, Features features, BiConsumer<SimulatedCluster, SimulatedCluster.Node> cut) {
        SimulatedCluster w = PartialCutsTest.busy(seed, features);
        cut.accept(w, w.leader());
        long terms = w.state.value("a/term").path("term").asLong();
        List<SimulatedCluster.User> users = new ArrayList<>();
        int starts = w.starts;
        for (int i = 0; i < CUT_S; i++) {
            users.add(w.submit(InvariantsUnderFaultsTest.array(100 + i, "any", JobSpec.Priority.NORMAL, 1, 1)));
            w.play(1);
        }
        long changed = w.state.value("a/term").path("term").asLong() - terms;
        w.network.restoreAll();
        w.play(60);
        double[] waits = users.stream()
                .mapToDouble(u -> u.startedAt == 0 ? CUT_S + 60 : (u.startedAt - u.submittedAt) / 1000.0)
                .toArray();
        int restarted = w.starts
                - starts
                - (int) users.stream().filter(u -> u.startedAt > 0).count();
        int late = (int) Arrays.stream(waits).filter(s -> s > LATE_S).count();
        return new Outcome(Arrays.stream(waits).max().orElse(0), late, restarted, changed);
    }

    private static void compare(String title, BiConsumer<SimulatedCluster, SimulatedCluster.Node> cut) {
        StringBuilder line = new StringBuilder(String.format("%-44s", title));
        for (Features features : List.of(Features.NONE, new Features(true, false))) {
            List<Outcome> outcomes = LongStream.range(0, SEEDS)
                    .mapToObj(seed -> play(700 + seed, features, cut))
                    .toList();
            line.append(String.format(
                    Locale.ROOT,
                    " | %5.1f %5.1f %5.1f %4.1f",
                    outcomes.stream().mapToDouble(Outcome::worstS).average().orElse(0),
                    outcomes.stream().mapToInt(Outcome::late).average().orElse(0),
                    outcomes.stream().mapToInt(Outcome::restarted).average().orElse(0),
                    outcomes.stream().mapToLong(Outcome::terms).average().orElse(0)));
        }
        System.out.println(line);
    }

    /** False suspicions and changes of leadership in an hour without cuts, on a quiet or an overloaded process. */
    private static void hour(long turnMs) {
        for (Features features : List.of(Features.NONE, new Features(true, false))) {
            SimulatedCluster w = PartialCutsTest.busy(800, features);
            if (turnMs > 0) {
                w.nodes.keySet().forEach(node -> w.turnMs.put(node, turnMs));
            }
            long terms = w.state.value("a/term").path("term").asLong();
            for (int i = 0; i < 360; i++) {
                w.submit(InvariantsUnderFaultsTest.array(1000 + i, "any", JobSpec.Priority.NORMAL, 1, 1));
                w.play(10);
            }
            System.out.println("an hour without cuts, turns of " + turnMs + " ms, features " + features.on()
                    + ": new terms " + (w.state.value("a/term").path("term").asLong() - terms));
            if (features.partialCuts()) {
                w.nodes
                        .values()
                        .forEach(n -> System.out.println(
                                "  " + n.coordinator.links().describe().path("counters")));
            }
        }
    }

    public static void main(String[] args) {
        LogLevel.start("error");
        System.out.println("worst wait (s), tasks of " + CUT_S
                + " that waited over 5 s, tasks started again, new terms; off | on");
        compare("none", (w, l) -> {});
        compare("leader - state service", (w, l) -> w.network.blockBoth(name(l), SimulatedCluster.STATE, Mode.LOST));
        compare("leader - workers, lost", (w, l) -> w.network.blockBoth(name(l), SimulatedNetwork.WORKERS, Mode.LOST));
        compare(
                "leader - workers, refused",
                (w, l) -> w.network.blockBoth(name(l), SimulatedNetwork.WORKERS, Mode.REFUSED));
        compare("leader > workers", (w, l) -> w.network.block(name(l), SimulatedNetwork.WORKERS, Mode.LOST));
        compare("workers > leader", (w, l) -> w.network.block(SimulatedNetwork.WORKERS, name(l), Mode.LOST));
        compare("leader - controllers", (w, l) -> peers(w, l, Mode.LOST));
        compare("leader - workers and controllers", (w, node) -> {
            w.network.blockBoth(name(node), SimulatedNetwork.WORKERS, Mode.LOST);
            peers(w, node, Mode.LOST);
        });
        compare("leader - state service and controllers", (w, node) -> {
            w.network.blockBoth(name(node), SimulatedCluster.STATE, Mode.LOST);
            peers(w, node, Mode.LOST);
        });
        hour(0);
        hour(BUSY_TURN_MS);
        hour(OVERLOADED_TURN_MS);
    }
}
