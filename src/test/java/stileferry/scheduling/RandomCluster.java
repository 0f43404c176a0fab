package stileferry.scheduling;

import java.util.List;
import java.util.SplittableRandom;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TestJob;
import stileferry.cluster.TestMachine;
import stileferry.cluster.TestSettings;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.MachineType;
import stileferry.protocol.Settings;

/** Generates random clusters and jobs, reproducibly for a given random generator. */
public final class RandomCluster {
    /** The time at which all clusters and jobs are created, in milliseconds. */
    static final long NOW = 100_000;

    private RandomCluster() {}

    /** Creates a cluster with the given number of machines, some of which may be quarantined. */
    public static ClusterState cluster(int machines, SplittableRandom random) {
        return cluster(machines, random, true);
    }

    /** Creates a cluster with the given number of machines, none of which is quarantined. */
    static ClusterState healthyCluster(int machines, SplittableRandom random) {
        return cluster(machines, random, false);
    }

    private static ClusterState cluster(int machines, SplittableRandom random, boolean quarantinesSome) {
        ClusterState cluster = new ClusterState(settings());
        cluster.setMachineTypes(List.of(
                new MachineType("small", 8, 0, 32, 9, 0.3, 1, 0.4, 10, List.of("za", "zb")),
                new MachineType("large", 16, 0, 64, 9, 0.3, 2, 0.8, 10, List.of("za", "zb"))));
        for (int i = 0; i < machines; i++) {
            Machine machine = cluster.getOrAddMachine(String.format("host-%06d", random.nextInt(1_000_000)));
            machine.setType(cluster.machineTypes().get(random.nextInt(2)));
            machine.setTypeName(machine.type().name());
            machine.setSpot(random.nextBoolean());
            TestMachine.recordEmptyStatus(machine, NOW);
            cluster.setZone(machine, random.nextBoolean() ? "za" : "zb");
            for (int n = random.nextInt(3); n > 0; n--) {
                machine.cacheImage("img" + random.nextInt(5), 2);
            }
            for (int n = random.nextInt(4); n > 0; n--) {
                machine.recordSlowdown(10, random.nextInt(120), 60);
            }
            if (random.nextInt(40) == 0 && quarantinesSome) {
                machine.instance().quarantine();
            }
            cluster.freeCapacity().update(machine);
        }
        return cluster;
    }

    private static Settings settings() {
        return TestSettings.with(
                List.of(new Settings.Team("red", 0, 0, 0, 0)),
                new Settings.ServiceLevelObjective("wait", "quick", 2, 0.9));
    }

    /** Adds a random accepted job. */
    static Job addJob(ClusterState cluster, int number, SplittableRandom random) {
        boolean service = random.nextInt(4) == 0;
        JobSpec spec = JobSpecBuilder.of(service ? JobSpec.Kind.SERVICE : JobSpec.Kind.ARRAY, "job-" + number)
                .team("red")
                .jobClass(random.nextInt(3) == 0 ? "quick" : "any")
                .priority(JobSpec.Priority.values()[random.nextInt(4)])
                .tasks(1 + random.nextInt(6))
                .cpus(0.5 * (1 + random.nextInt(8)))
                .memoryGb(1 + random.nextInt(12))
                .image("img" + random.nextInt(5))
                .imageGb(2)
                .machineTypes(random.nextInt(5) == 0 ? List.of("large") : null)
                .zone(random.nextInt(5) == 0 ? "za" : null)
                .oneZone(random.nextInt(6) == 0)
                .spreadAcrossZones(random.nextInt(4) == 0)
                .allowsSpot(random.nextBoolean())
                .runS(60)
                .build();
        Job job = TestJob.accepted(spec, number, NOW);
        cluster.addJob(job);
        return job;
    }
}
