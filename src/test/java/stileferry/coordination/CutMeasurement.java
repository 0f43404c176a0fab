package stileferry.coordination;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.BiConsumer;
import java.util.stream.LongStream;
import stileferry.coordination.SimulatedNetwork.LinkFault;
import stileferry.protocol.Features;
import stileferry.transport.LogLevel;

/**
 * Measures what link monitoring is worth in the simulated cluster, with the feature on and off in pairs of runs with
 * the same seed:
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

    private static void peers(SimulatedCluster cluster, ControllerNode leader, LinkFault fault) {
        cluster.controllers.values().stream()
                .filter(n -> n != leader)
                .forEach(n -> cluster.network.blockBoth(leader.name(), n.name(), fault));
    }

    private static Outcome play(long seed, Features features, BiConsumer<SimulatedCluster, ControllerNode> cut) {
        SimulatedCluster cluster = LinkFaultCluster.withLongJobs(seed, features);
        cut.accept(cluster, cluster.leader());
        long terms = cluster.term();
        List<SimulatedUser> users = new ArrayList<>();
        int starts = cluster.tasks.starts;
        for (int i = 0; i < CUT_S; i++) {
            users.add(cluster.submit(Workloads.array(100 + i, 1, 1)));
            cluster.runFor(1);
        }
        long changed = cluster.term() - terms;
        cluster.network.restoreAll();
        cluster.runFor(60);
        double[] waits = users.stream()
                .mapToDouble(u -> u.startedAt == 0 ? CUT_S + 60 : (u.startedAt - u.submittedAt) / 1000.0)
                .toArray();
        int restarted = cluster.tasks.starts
                - starts
                - (int) users.stream().filter(u -> u.startedAt > 0).count();
        int late = (int) Arrays.stream(waits).filter(s -> s > LATE_S).count();
        return new Outcome(Arrays.stream(waits).max().orElse(0), late, restarted, changed);
    }

    private static void compare(String title, BiConsumer<SimulatedCluster, ControllerNode> cut) {
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
            SimulatedCluster cluster = LinkFaultCluster.withLongJobs(800, features);
            if (turnMs > 0) {
                cluster.controllers.keySet().forEach(node -> cluster.faults.eventLoopTurnMs.put(node, turnMs));
            }
            long terms = cluster.term();
            for (int i = 0; i < 360; i++) {
                cluster.submit(Workloads.array(1000 + i, 1, 1));
                cluster.runFor(10);
            }
            System.out.println("an hour without cuts, turns of " + turnMs + " ms, features " + features.enabledNames()
                    + ": new terms " + (cluster.term() - terms));
            if (features.partialCuts()) {
                cluster.controllers
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
        compare("none", (cluster, leader) -> {});
        compare(
                "leader - state service",
                (cluster, leader) -> cluster.network.blockBoth(leader.name(), SimulatedCluster.STORE, LinkFault.LOST));
        compare(
                "leader - workers, lost",
                (cluster, leader) ->
                        cluster.network.blockBoth(leader.name(), SimulatedNetwork.WORKERS, LinkFault.LOST));
        compare(
                "leader - workers, refused",
                (cluster, leader) ->
                        cluster.network.blockBoth(leader.name(), SimulatedNetwork.WORKERS, LinkFault.REFUSED));
        compare(
                "leader > workers",
                (cluster, leader) -> cluster.network.block(leader.name(), SimulatedNetwork.WORKERS, LinkFault.LOST));
        compare(
                "workers > leader",
                (cluster, leader) -> cluster.network.block(SimulatedNetwork.WORKERS, leader.name(), LinkFault.LOST));
        compare("leader - controllers", (cluster, leader) -> peers(cluster, leader, LinkFault.LOST));
        compare("leader - workers and controllers", (cluster, leader) -> {
            cluster.network.blockBoth(leader.name(), SimulatedNetwork.WORKERS, LinkFault.LOST);
            peers(cluster, leader, LinkFault.LOST);
        });
        compare("leader - state service and controllers", (cluster, leader) -> {
            cluster.network.blockBoth(leader.name(), SimulatedCluster.STORE, LinkFault.LOST);
            peers(cluster, leader, LinkFault.LOST);
        });
        hour(0);
        hour(BUSY_TURN_MS);
        hour(OVERLOADED_TURN_MS);
    }
}
