package stileferry.coordination;

import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;
import stileferry.protocol.Features;
import stileferry.transport.LogLevel;

/**
 * Measures fair admission in the simulated cluster, with the feature off and on for each seed. The load is two minutes
 * of fifteen jobs per second from one team and one job every two seconds from each of two others. To run it, with
 * JUnit's API on the class path as well:
 * {@code java -cp target/stileferry.jar:target/test-classes stileferry.coordination.AdmissionMeasurement}.
 */
final class AdmissionMeasurement {
    private static final int SEEDS = 3;
    private static final int FLOOD_S = 120;
    private static final long MAX_WAIT_MS = 120_000;

    private AdmissionMeasurement() {}

    /** The results of one run. */
    private record Outcome(
            double jain,
            double writesPerJob,
            double retriesPerJob,
            double completedJobs,
            double smallTeamsAdmittedShare,
            double waitP95S) {}

    private static double admittedShare(SimulatedCluster cluster, String team) {
        long submitted = cluster.users.values().stream()
                .filter(u -> u.spec.team().equals(team))
                .count();
        long accepted = cluster.users.values().stream()
                .filter(u -> u.accepted && u.spec.team().equals(team))
                .count();
        return submitted == 0 ? 0 : (double) accepted / submitted;
    }

    /** Returns Jain's index of the teams' admissions; a team with over 99 % admitted counts with at least the mean. */
    private static double jain(SimulatedCluster cluster) {
        long mean = AdmissionLoad.TEAMS.stream()
                        .mapToLong(team -> accepted(cluster, team))
                        .sum()
                / AdmissionLoad.TEAMS.size();
        double sum = 0;
        double squares = 0;
        for (String team : AdmissionLoad.TEAMS) {
            double admitted = admittedShare(cluster, team) > 0.99
                    ? Math.max(mean, accepted(cluster, team))
                    : accepted(cluster, team);
            sum += admitted;
            squares += admitted * admitted;
        }
        return squares == 0 ? 0 : sum * sum / (AdmissionLoad.TEAMS.size() * squares);
    }

    private static long accepted(SimulatedCluster cluster, String team) {
        return cluster.users.values().stream()
                .filter(u -> u.accepted && u.spec.team().equals(team))
                .count();
    }

    private static Outcome measure(long seed, Features features) {
        SimulatedCluster cluster = AdmissionLoad.smallCluster(seed, features);
        cluster.runFor(20);
        long writesBefore = cluster.store.writtenKeyCount();
        AdmissionLoad.flood(cluster, 100, FLOOD_S);
        Histogram waits = new Histogram(MAX_WAIT_MS, 2);
        cluster.users.values().stream()
                .filter(u -> u.accepted)
                .forEach(u -> waits.recordValue(Math.min(MAX_WAIT_MS, u.acceptedAt - u.submittedAt)));
        double accepted = waits.getTotalCount();
        return new Outcome(
                jain(cluster),
                (cluster.store.writtenKeyCount() - writesBefore) / accepted,
                cluster.users.values().stream()
                        .mapToInt(u -> u.retries)
                        .average()
                        .orElse(0),
                cluster.users.values().stream().filter(u -> u.endState != null).count(),
                (admittedShare(cluster, "blue") + admittedShare(cluster, "free")) / 2,
                waits.getValueAtPercentile(95) / 1000.0);
    }

    public static void main(String[] args) {
        LogLevel.initialize("error");
        System.out.println("Jain's index, writes per accepted job (including its end), retries per job,"
                + " completed jobs, accepted share of the small teams' jobs, 95th percentile of the wait in s");
        for (Features features : List.of(Features.NONE, AdmissionLoad.FAIR_ADMISSION)) {
            LongStream.range(0, SEEDS).forEach(seed -> {
                Outcome outcome = measure(300 + seed, features);
                System.out.println(String.format(
                        Locale.ROOT,
                        "%-20s seed %d: %.2f %.2f %.2f %.0f %.2f %.1f",
                        features.enabledNames(),
                        300 + seed,
                        outcome.jain(),
                        outcome.writesPerJob(),
                        outcome.retriesPerJob(),
                        outcome.completedJobs(),
                        outcome.smallTeamsAdmittedShare(),
                        outcome.waitP95S()));
            });
        }
    }
}
