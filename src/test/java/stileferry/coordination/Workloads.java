package stileferry.coordination;

import java.util.List;
import java.util.SplittableRandom;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;

/** The jobs that users of the simulated cluster submit. */
final class Workloads {
    private static final List<String> TEAMS = List.of("red", "blue", "free");

    private Workloads() {}

    static JobSpec service(int number, int tasks, double cpus) {
        return JobSpecBuilder.service(number).tasks(tasks).cpus(cpus).build();
    }

    /** Submits services of two tasks with two CPUs each. */
    static void submitServices(SimulatedCluster cluster, int jobs) {
        for (int i = 0; i < jobs; i++) {
            cluster.submit(service(i, 2, 2));
        }
    }

    /** Returns a job array whose tasks take two CPUs each and may run on spot instances. */
    static JobSpec array(int number, String jobClass, JobSpec.Priority priority, int tasks, double runS) {
        return JobSpecBuilder.array(number)
                .jobClass(jobClass)
                .priority(priority)
                .tasks(tasks)
                .cpus(2)
                .allowsSpot(true)
                .runS(runS)
                .build();
    }

    /** Returns a job array of normal priority in the class "any". */
    static JobSpec array(int number, int tasks, double runS) {
        return array(number, "any", JobSpec.Priority.NORMAL, tasks, runS);
    }

    /** Returns a job of random kind, team, size and constraints. */
    static JobSpec random(int number, SplittableRandom random) {
        JobSpec.Kind kind = random.nextInt(5) == 0
                ? JobSpec.Kind.SERVICE
                : random.nextInt(5) == 0 ? JobSpec.Kind.GANG : JobSpec.Kind.ARRAY;
        boolean service = kind == JobSpec.Kind.SERVICE;
        JobSpecBuilder job = JobSpecBuilder.of(kind, "job-" + (1000 + number)).team(TEAMS.get(random.nextInt(3)));
        if (!service) {
            job.priority(random.nextBoolean() ? JobSpec.Priority.NORMAL : JobSpec.Priority.IDLE);
        }
        boolean savesCheckpoints = random.nextBoolean();
        return job.tasks(service ? 1 + random.nextInt(3) : 1 + random.nextInt(8))
                .cpus(1 + random.nextInt(4))
                .memoryGb(1 + random.nextInt(8))
                .image("img" + random.nextInt(3))
                .zone(random.nextInt(6) == 0 ? "za" : null)
                .oneZone(random.nextInt(5) == 0)
                .spreadAcrossZones(random.nextInt(3) == 0)
                .allowsSpot(kind == JobSpec.Kind.ARRAY && random.nextBoolean())
                .runS(service ? 0 : 2 + random.nextInt(20))
                .checkpoints(savesCheckpoints ? 3 : 0, savesCheckpoints ? 1 : 0)
                .build();
    }
}
