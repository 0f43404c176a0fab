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
 * Measures the effect of link monitoring under partial partitions in the simulated cluster, with the feature off and on
 * for the same seeds. A partition lasts 40 s, during which one single-task job is submitted every second. To run it,
 * with JUnit's API on the class path as well:
 * {@code java -cp target/stileferry.jar:target/test-classes stileferry.coordination.PartialPartitionMeasurement}.
 */
final class PartialPartitionMeasurement {
    private static final int SEEDS = 10;
    private static final int PARTITION_S = 40;
    private static final double LATE_START_S = 5;
    private static final long BUSY_TASK_MS = 20;
    private static final long OVERLOADED_TASK_MS = 45;

    private PartialPartitionMeasurement() {}

    /** The results of one run with a partition. */
    private record Outcome(double longestWaitS, int lateStarts, int restartedTasks, long newTerms) {}

    private static void breakPeerLinks(SimulatedCluster cluster, ControllerNode leader, LinkFault fault) {
        cluster.controllers.values().stream()
                .filter(n -> n != leader)
                .forEach(n -> cluster.network.injectFaultBothWays(leader.name(), n.name(), fault));
    }

    private static Outcome measure(
            long seed, Features features, BiConsumer<SimulatedCluster, ControllerNode> injection) {
        SimulatedCluster cluster = LinkFaultCluster.withLongJobs(seed, features);
        injection.accept(cluster, cluster.leader());
        long termBefore = cluster.term();
        List<SimulatedUser> users = new ArrayList<>();
        int startsBefore = cluster.tasks.starts;
        for (int i = 0; i < PARTITION_S; i++) {
            users.add(cluster.submit(Workloads.array(100 + i, 1, 1)));
            cluster.runFor(1);
        }
        long termChanges = cluster.term() - termBefore;
        cluster.network.restoreAll();
        cluster.runFor(60);
        double[] waits = users.stream()
                .mapToDouble(u -> u.startedAt == 0 ? PARTITION_S + 60 : (u.startedAt - u.submittedAt) / 1000.0)
                .toArray();
        int restartCount = cluster.tasks.starts
                - startsBefore
                - (int) users.stream().filter(u -> u.startedAt > 0).count();
        int lateCount = (int) Arrays.stream(waits).filter(s -> s > LATE_START_S).count();
        return new Outcome(Arrays.stream(waits).max().orElse(0), lateCount, restartCount, termChanges);
    }

    private static void compare(String title, BiConsumer<SimulatedCluster, ControllerNode> injection) {
        StringBuilder line = new StringBuilder(String.format("%-44s", title));
        for (Features features : List.of(Features.NONE, new Features(true, false))) {
            List<Outcome> outcomes = LongStream.range(0, SEEDS)
                    .mapToObj(seed -> measure(700 + seed, features, injection))
                    .toList();
            line.append(String.format(
                    Locale.ROOT,
                    " | %5.1f %5.1f %5.1f %4.1f",
                    outcomes.stream()
                            .mapToDouble(Outcome::longestWaitS)
                            .average()
                            .orElse(0),
                    outcomes.stream().mapToInt(Outcome::lateStarts).average().orElse(0),
                    outcomes.stream()
                            .mapToInt(Outcome::restartedTasks)
                            .average()
                            .orElse(0),
                    outcomes.stream().mapToLong(Outcome::newTerms).average().orElse(0)));
        }
        System.out.println(line);
    }

    /**
     * Prints the new terms, and with link monitoring the counters of suspicions, in an hour without partitions.
     *
     * @param taskMs how long the event loops are busy with each command, in milliseconds, or 0 to not simulate that
     */
    private static void measureHourWithoutFaults(long taskMs) {
        for (Features features : List.of(Features.NONE, new Features(true, false))) {
            SimulatedCluster cluster = LinkFaultCluster.withLongJobs(800, features);
            if (taskMs > 0) {
                cluster.controllers.keySet().forEach(node -> cluster.faults.eventLoopTaskMs.put(node, taskMs));
            }
            long termBefore = cluster.term();
            for (int i = 0; i < 360; i++) {
                cluster.submit(Workloads.array(1000 + i, 1, 1));
                cluster.runFor(10);
            }
            System.out.println(
                    "an hour without partitions, event loop busy for " + taskMs + " ms per command, features "
                            + features.enabledNames() + ": new terms " + (cluster.term() - termBefore));
            if (features.partialCuts()) {
                cluster.controllers
                        .values()
                        .forEach(n -> System.out.println(
                                "  " + n.coordinator.links().describe().path("counters")));
            }
        }
    }

    public static void main(String[] args) {
        LogLevel.initialize("error");
        System.out.println("longest wait (s), tasks of " + PARTITION_S
                + " that waited over 5 s, restarted tasks, new terms; off | on");
        compare("none", (cluster, leader) -> {});
        compare(
                "leader - key-value store",
                (cluster, leader) ->
                        cluster.network.injectFaultBothWays(leader.name(), SimulatedCluster.STORE, LinkFault.LOST));
        compare(
                "leader - workers, lost",
                (cluster, leader) ->
                        cluster.network.injectFaultBothWays(leader.name(), SimulatedNetwork.WORKERS, LinkFault.LOST));
        compare(
                "leader - workers, refused",
                (cluster, leader) -> cluster.network.injectFaultBothWays(
                        leader.name(), SimulatedNetwork.WORKERS, LinkFault.REFUSED));
        compare(
                "leader > workers",
                (cluster, leader) ->
                        cluster.network.injectFault(leader.name(), SimulatedNetwork.WORKERS, LinkFault.LOST));
        compare(
                "workers > leader",
                (cluster, leader) ->
                        cluster.network.injectFault(SimulatedNetwork.WORKERS, leader.name(), LinkFault.LOST));
        compare("leader - controllers", (cluster, leader) -> breakPeerLinks(cluster, leader, LinkFault.LOST));
        compare("leader - workers and controllers", (cluster, leader) -> {
            cluster.network.injectFaultBothWays(leader.name(), SimulatedNetwork.WORKERS, LinkFault.LOST);
            breakPeerLinks(cluster, leader, LinkFault.LOST);
        });
        compare("leader - key-value store and controllers", (cluster, leader) -> {
            cluster.network.injectFaultBothWays(leader.name(), SimulatedCluster.STORE, LinkFault.LOST);
            breakPeerLinks(cluster, leader, LinkFault.LOST);
        });
        measureHourWithoutFaults(0);
        measureHourWithoutFaults(BUSY_TASK_MS);
        measureHourWithoutFaults(OVERLOADED_TASK_MS);
    }
}
