package stileferry.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.cluster.TestJob;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;

/**
 * Compares the starts of scheduling passes with a direct implementation of the specified algorithm, and limits how many
 * machines a pass visits.
 */
class PlacementTest {
    private static final long NOW = RandomCluster.NOW;

    /** Selects the machine as specified, by visiting every machine in the order of names. */
    private static Machine selectExhaustively(ClusterState cluster, Placement placement, Job job) {
        Machine best = null;
        for (Machine machine : cluster.machines().values()) {
            double cpus = job.spec().cpus();
            double memoryGb = job.spec().memoryGb();
            for (TaskAssignment assignment : machine.assignments().values()) {
                cpus += assignment.job().spec().cpus();
                memoryGb += assignment.job().spec().memoryGb();
            }
            if (cpus <= machine.type().cpus() + 1e-6
                    && memoryGb <= machine.type().memoryGb() + 1e-6
                    && placement.constraints().allow(job, machine, NOW)
                    && (best == null || placement.selector().isBetter(job, machine, best))) {
                best = machine;
            }
        }
        return best;
    }

    /** Runs a pass as specified: starts the head if it fits, otherwise the job with the lowest rank times position. */
    private static List<String> runExhaustivePass(ClusterState cluster, Placement placement) {
        List<String> starts = new ArrayList<>();
        placement.queueOrder().markWithinQuota();
        while (true) {
            List<Job> queue = placement.queue(NOW, NOW);
            Job next = null;
            double lowest = Double.MAX_VALUE;
            for (int i = 0; i < queue.size(); i++) {
                double value = i == 0 ? -1 : placement.rank(queue.get(i)) * (i + 1);
                if (value < lowest && selectExhaustively(cluster, placement, queue.get(i)) != null) {
                    lowest = value;
                    next = queue.get(i);
                }
            }
            if (next == null) {
                return starts;
            }
            starts.add(assign(cluster, next, selectExhaustively(cluster, placement, next)));
        }
    }

    private static String assign(ClusterState cluster, Job job, Machine machine) {
        TaskAssignment assignment = new TaskAssignment(job, job.nextUnassignedTask(0), 1, machine.name(), 1, NOW);
        cluster.assign(assignment);
        return assignment.taskId() + " on " + machine.name();
    }

    private static List<String> runIndexedPass(ClusterState cluster) {
        List<String> starts = new ArrayList<>();
        new Placement(cluster)
                .runPass(NOW, NOW, false, (job, machines) -> starts.add(assign(cluster, job, machines.get(0))));
        return starts;
    }

    private static void completeRandomThirdOfTasks(ClusterState cluster, SplittableRandom random) {
        for (Job job : cluster.jobs().values()) {
            for (TaskAssignment assignment : List.copyOf(job.assignments().values())) {
                if (random.nextInt(3) == 0) {
                    cluster.unassign(assignment, true);
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void indexedPassMatchesExhaustivePass(long seed) {
        SplittableRandom randomForIndexed = new SplittableRandom(seed);
        SplittableRandom randomForExhaustive = new SplittableRandom(seed);
        ClusterState indexed = RandomCluster.cluster(12, randomForIndexed);
        ClusterState exhaustive = RandomCluster.cluster(12, randomForExhaustive);
        int started = 0;
        for (int round = 0; round < 4; round++) {
            for (int i = 0; i < 8; i++) {
                RandomCluster.addJob(indexed, 100 * round + i, randomForIndexed);
                RandomCluster.addJob(exhaustive, 100 * round + i, randomForExhaustive);
            }
            List<String> starts = runIndexedPass(indexed);
            assertEquals(runExhaustivePass(exhaustive, new Placement(exhaustive)), starts);
            started += starts.size();
            completeRandomThirdOfTasks(indexed, new SplittableRandom(seed + round));
            completeRandomThirdOfTasks(exhaustive, new SplittableRandom(seed + round));
        }
        assertTrue(started > 20, "too few tasks started: " + started);
    }

    /** Fills the cluster, in as many passes as it takes. */
    private static void fillCluster(ClusterState cluster, Placement placement) {
        int passes = 0;
        do {
            placement.runPass(NOW, NOW, false, (job, machines) -> assign(cluster, job, machines.get(0)));
            passes++;
        } while (placement.stoppedEarly());
        int tasks = cluster.machines().values().stream()
                .mapToInt(machine -> machine.assignments().size())
                .sum();
        assertTrue(tasks > 5000, tasks + " tasks assigned");
        assertTrue(passes > 10, passes + " passes needed");
    }

    /** With thousands of full machines and tasks and hundreds of waiting jobs, a pass must visit very few machines. */
    @ParameterizedTest
    @ValueSource(ints = {1450, 4200})
    void passOverFullClusterVisitsFewMachines(int machineCount) {
        SplittableRandom random = new SplittableRandom(1);
        ClusterState cluster = RandomCluster.cluster(machineCount, random);
        Placement placement = new Placement(cluster);
        for (int i = 0; i < 6 * machineCount; i++) {
            RandomCluster.addJob(cluster, i, random);
        }
        fillCluster(cluster, placement);
        Machine freed = cluster.machines().values().stream()
                .filter(machine -> machine.assignments().size() > 2 && machine.schedulable())
                .findFirst()
                .orElseThrow();
        cluster.unassign(freed.assignments().values().iterator().next(), true);
        long waiting = placement.queue(NOW, NOW).size();
        long visitsBefore = cluster.freeCapacity().machinesVisited();
        List<Machine> started = new ArrayList<>();
        placement.runPass(NOW, NOW, false, (job, machines) -> {
            started.add(machines.get(0));
            assign(cluster, job, machines.get(0));
        });
        long visits = cluster.freeCapacity().machinesVisited() - visitsBefore;
        assertTrue(!started.isEmpty(), "the freed capacity is used");
        assertSame(freed, started.get(0));
        assertTrue(
                visits * 50 < waiting * machineCount,
                visits + " visits after one task ended, with " + waiting + " waiting jobs");
    }

    /**
     * Guards against slow starts after the loss of a zone: if all services went to the fullest machines, their image
     * pulls would share the rate of these machines.
     */
    @Test
    void imagePullsAreSpreadAcrossIdleMachines() {
        ClusterState cluster = RandomCluster.healthyCluster(60, new SplittableRandom(3));
        Placement placement = new Placement(cluster);
        for (int i = 0; i < 30; i++) {
            JobSpec spec = JobSpecBuilder.service(i)
                    .jobClass("quick")
                    .team("red")
                    .image("new" + i)
                    .imageGb(2)
                    .allowsSpot(true)
                    .build();
            cluster.addJob(TestJob.accepted(spec, i, NOW));
        }
        placement.runPass(NOW, NOW, false, (job, machines) -> assign(cluster, job, machines.get(0)));
        int maxPulls = 0;
        for (Machine machine : cluster.machines().values()) {
            maxPulls = Math.max(maxPulls, machine.imagesBeingPulled());
        }
        assertEquals(1, maxPulls, "maximum concurrent image pulls on one machine while others are idle");
    }
}
