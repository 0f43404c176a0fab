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

/** What a scheduling pass starts where, compared with the design's own words, and how many machines it visits. */
class PlacementTest {
    private static final long NOW = RandomCluster.NOW;

    /** The design's choice, by visiting every machine in the order of names. */
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

    /** The order of the queue by the words of the design: the head if it fits, else the lowest rank times position. */
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

    private static void completeEveryThirdTask(ClusterState cluster, SplittableRandom random) {
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
        SplittableRandom randomForFast = new SplittableRandom(seed);
        SplittableRandom randomForPlain = new SplittableRandom(seed);
        ClusterState fast = RandomCluster.cluster(12, randomForFast);
        ClusterState plain = RandomCluster.cluster(12, randomForPlain);
        int started = 0;
        for (int round = 0; round < 4; round++) {
            for (int i = 0; i < 8; i++) {
                RandomCluster.addJob(fast, 100 * round + i, randomForFast);
                RandomCluster.addJob(plain, 100 * round + i, randomForPlain);
            }
            List<String> starts = runIndexedPass(fast);
            assertEquals(runExhaustivePass(plain, new Placement(plain)), starts);
            started += starts.size();
            completeEveryThirdTask(fast, new SplittableRandom(seed + round));
            completeEveryThirdTask(plain, new SplittableRandom(seed + round));
        }
        assertTrue(started > 20, "too little happened: " + started);
    }

    /** Fills the cluster in as many passes as that takes. */
    private static void fillCluster(ClusterState cluster, Placement placement) {
        int passes = 0;
        do {
            placement.runPass(NOW, NOW, false, (job, machines) -> assign(cluster, job, machines.get(0)));
            passes++;
        } while (placement.stoppedEarly());
        int tasks = cluster.machines().values().stream()
                .mapToInt(machine -> machine.assignments().size())
                .sum();
        assertTrue(tasks > 5000, tasks + " tasks");
        assertTrue(passes > 10, passes + " passes");
    }

    /** Thousands of full machines and tasks, and hundreds of jobs that wait: a pass visits next to nothing. */
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
        assertTrue(!started.isEmpty(), "the capacity that came free is used");
        assertSame(freed, started.get(0));
        assertTrue(
                visits * 50 < waiting * machineCount,
                visits + " visits for one task that ended, " + waiting + " jobs wait");
    }

    /** After a zone was lost, services must not all go to the fullest machines and share their rates of pulling. */
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
        int most = 0;
        for (Machine machine : cluster.machines().values()) {
            most = Math.max(most, machine.imagesBeingPulled());
        }
        assertEquals(1, most, "images pulled at once on one machine, though others are idle");
    }
}
