package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import stileferry.protocol.Features;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;

/** A small cluster, and users that submit more jobs than it can admit. */
final class AdmissionLoad {
    static final Features FAIR_ADMISSION = new Features(false, true);

    /** The write rate of the key-value store: enough for five admissions per second if nothing else is written. */
    private static final double WRITES_PER_S = 12;

    static final List<String> TEAMS = List.of("red", "blue", "free");

    private AdmissionLoad() {}

    static SimulatedCluster smallCluster(long seed, Features features) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 2, 2, 40, WRITES_PER_S);
        cluster.features = features;
        return cluster;
    }

    static JobSpec job(int number, String team, JobSpec.Priority priority, double runS) {
        boolean service = priority == JobSpec.Priority.CRITICAL;
        JobSpecBuilder job = service ? JobSpecBuilder.service(number) : JobSpecBuilder.array(number);
        return job.team(team)
                .priority(priority)
                .imageGb(0.2)
                .runS(service ? 0 : runS)
                .build();
    }

    static SimulatedUser submit(SimulatedCluster cluster, int number, String team) {
        return cluster.submit(job(number, team, JobSpec.Priority.NORMAL, 2));
    }

    /**
     * Submits fifteen jobs per second for team red and one every two seconds for each other team.
     *
     * @return the number of the next job
     */
    static int flood(SimulatedCluster cluster, int firstNumber, int seconds) {
        int number = firstNumber;
        for (int second = 0; second < seconds; second++) {
            for (int i = 0; i < 15; i++) {
                submit(cluster, number++, "red");
            }
            if (second % 2 == 0) {
                submit(cluster, number++, "blue");
                submit(cluster, number++, "free");
            }
            cluster.runFor(1);
        }
        return number;
    }

    /** Asserts that no invariant is violated and the count of admissions was consistent so far. */
    static void assertConsistent(SimulatedCluster cluster, AdmissionCountCheck countCheck) {
        assertEquals(List.of(), cluster.violations);
        assertEquals(List.of(), countCheck.problems);
    }
}
