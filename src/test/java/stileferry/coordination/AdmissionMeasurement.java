package stileferry.coordination;

import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;
import stileferry.protocol.Features;
import stileferry.transport.LogLevel;

/**
 * Measures fair admission in the simulated cluster, on and off in pairs of the same seed:
 * {@code java -cp target/stileferry.jar:target/test-classes stileferry.coordination.AdmissionMeasurement}, with
 * JUnit's API on the class path. Two minutes of fifteen jobs a second of one team and one every two seconds of two
 * others.
 */
final class AdmissionMeasurement {
    private static final int SEEDS = 3;
    private static final int FLOOD_S = 120;
    private static final long LONGEST_MS = 120_000;

    private AdmissionMeasurement() {}

    /** What one flood led to. */
    private record Outcome(
            double jain, double changesEach, double refusalsEach, double done, double smallTeams, double waitP95S) {}

    private static double admittedShare(SimulatedCluster cluster, String team) {
        long asked = cluster.users.values().stream()
                .filter(u -> u.spec.team().equals(team))
                .count();
        long accepted = cluster.users.values().stream()
                .filter(u -> u.accepted && u.spec.team().equals(team))
                .count();
        return asked == 0 ? 0 : (double) accepted / asked;
    }

    /** Jain's index of what the teams were given, where a team that was given all counts as one that has the mean. */
    private static double jain(SimulatedCluster cluster) {
        long least = AdmissionLoad.TEAMS.stream()
                        .mapToLong(team -> accepted(cluster, team))
                        .sum()
                / AdmissionLoad.TEAMS.size();
        double sum = 0;
        double squares = 0;
        for (String team : AdmissionLoad.TEAMS) {
            double given = admittedShare(cluster, team) > 0.99
                    ? Math.max(least, accepted(cluster, team))
                    : accepted(cluster, team);
            sum += given;
            squares += given * given;
        }
        return squares == 0 ? 0 : sum * sum / (AdmissionLoad.TEAMS.size() * squares);
    }

    private static long accepted(SimulatedCluster cluster, String team) {
        return cluster.users.values().stream()
                .filter(u -> u.accepted && u.spec.team().equals(team))
                .count();
    }

    private static Outcome play(long seed, Features features) {
        SimulatedCluster cluster = AdmissionLoad.smallCluster(seed, features);
        cluster.runFor(20);
        long changes = cluster.store.writtenKeys();
        AdmissionLoad.flood(cluster, 100, FLOOD_S);
        Histogram waits = new Histogram(LONGEST_MS, 2);
        cluster.users.values().stream()
                .filter(u -> u.accepted)
                .forEach(u -> waits.recordValue(Math.min(LONGEST_MS, u.acceptedAt - u.submittedAt)));
        double accepted = waits.getTotalCount();
        return new Outcome(
                jain(cluster),
                (cluster.store.writtenKeys() - changes) / accepted,
                cluster.users.values().stream()
                        .mapToInt(u -> u.rejections)
                        .average()
                        .orElse(0),
                cluster.users.values().stream().filter(u -> u.endState != null).count(),
                (admittedShare(cluster, "blue") + admittedShare(cluster, "free")) / 2,
                waits.getValueAtPercentile(95) / 1000.0);
    }

    public static void main(String[] args) {
        LogLevel.start("error");
        System.out.println("Jain's index, changes for each accepted job (its end included), refusals of each job,"
                + " jobs done, share of the small teams' jobs accepted, 95th percentile of the wait in s");
        for (Features features : List.of(Features.NONE, AdmissionLoad.ON)) {
            LongStream.range(0, SEEDS).forEach(seed -> {
                Outcome outcome = play(300 + seed, features);
                System.out.println(String.format(
                        Locale.ROOT,
                        "%-20s seed %d: %.2f %.2f %.2f %.0f %.2f %.1f",
                        features.enabledNames(),
                        300 + seed,
                        outcome.jain(),
                        outcome.changesEach(),
                        outcome.refusalsEach(),
                        outcome.done(),
                        outcome.smallTeams(),
                        outcome.waitP95S()));
            });
        }
    }
}
