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
import stileferry.coordination.World;
import stileferry.heartbeat.EventLoopLag;
import stileferry.heartbeat.HeartbeatHandler;
import stileferry.protocol.JobSpec;

/** The size of the largest deployments: what is counted is work, not time. */
public class ScaleTest {
    private static final long NOW = RandomCluster.NOW;

    /** The design's choice, by looking at every machine in the order of names. */
    private static Machine plainChoice(ClusterState cluster, Placement placement, Job job) {
        Machine best = null;
        for (Machine machine : cluster.machines().values()) {
            double cpus = job.spec().cpus();
            double memory = job.spec().memoryGb();
            for (TaskAssignment assignment : machine.assignments().values()) {
                cpus += assignment.job().spec().cpus();
                memory += assignment.job().spec().memoryGb();
            }
            if (cpus <= machine.type().cpus() + 1e-6
                    && memory <= machine.type().memoryGb() + 1e-6
                    && placement.constraints().allow(job, machine, NOW)
                    && (best == null || placement.selector().better(job, machine, best))) {
                best = machine;
            }
        }
        return best;
    }

    /** The order of the queue by the words of the design: the head if it fits, else the lowest rank times position. */
    private static List<String> plainPass(ClusterState cluster, Placement placement) {
        List<String> starts = new ArrayList<>();
        placement.queueOrder().markWithinQuota();
        while (true) {
            List<Job> queue = placement.queue(NOW, NOW);
            Job pick = null;
            double lowest = Double.MAX_VALUE;
            for (int i = 0; i < queue.size(); i++) {
                double value = i == 0 ? -1 : placement.rank(queue.get(i)) * (i + 1);
                if (value < lowest && plainChoice(cluster, placement, queue.get(i)) != null) {
                    lowest = value;
                    pick = queue.get(i);
                }
            }
            if (pick == null) {
                return starts;
            }
            starts.add(claim(cluster, pick, plainChoice(cluster, placement, pick)));
        }
    }

    private static String claim(ClusterState cluster, Job job, Machine machine) {
        TaskAssignment claim = new TaskAssignment(job, job.nextUnassignedTask(0), 1, machine.name(), 1, NOW);
        cluster.assign(claim);
        return claim.taskId() + " on " + machine.name();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void theFastPassDecidesAsThePlainOne(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SplittableRandom b = new SplittableRandom(seed);
        ClusterState fast = RandomCluster.cluster(12, random);
        ClusterState plain = RandomCluster.cluster(12, b);
        int started = 0;
        for (int round = 0; round < 4; round++) {
            for (int i = 0; i < 8; i++) {
                RandomCluster.job(fast, 100 * round + i, random);
                RandomCluster.job(plain, 100 * round + i, b);
            }
            List<String> starts = new ArrayList<>();
            new Placement(fast).pass(NOW, NOW, false, (job, machines) -> starts.add(claim(fast, job, machines.get(0))));
            assertEquals(plainPass(plain, new Placement(plain)), starts);
            started += starts.size();
            for (ClusterState cluster : List.of(fast, plain)) { // every third task ends
                SplittableRandom r = new SplittableRandom(seed + round);
                for (Job job : cluster.jobs().values()) {
                    for (TaskAssignment assignment :
                            List.copyOf(job.assignments().values())) {
                        if (r.nextInt(3) == 0) {
                            cluster.unassign(assignment, true);
                        }
                    }
                }
            }
        }
        assertTrue(started > 20, "too little happened: " + started);
    }

    /** Thousands of full machines and tasks, and hundreds of jobs that wait: a pass looks at next to nothing. */
    @ParameterizedTest
    @ValueSource(ints = {1450, 4200})
    void aPassOverAFullFleetLooksAtFewMachines(int fleet) {
        SplittableRandom random = new SplittableRandom(1);
        ClusterState cluster = RandomCluster.cluster(fleet, random);
        Placement placement = new Placement(cluster);
        for (int i = 0; i < 6 * fleet; i++) {
            RandomCluster.job(cluster, i, random);
        }
        int passes = 0;
        do {
            placement.pass(NOW, NOW, false, (job, machines) -> claim(cluster, job, machines.get(0)));
            passes++;
        } while (placement.stoppedEarly());
        int tasks = cluster.machines().values().stream()
                .mapToInt(m -> m.assignments().size())
                .sum();
        assertTrue(tasks > 5000 && passes > 10, tasks + " tasks in " + passes + " passes");
        Machine freed = cluster.machines().values().stream()
                .filter(m -> m.assignments().size() > 2 && m.schedulable())
                .findFirst()
                .orElseThrow();
        cluster.unassign(freed.assignments().values().iterator().next(), true);
        long waiting = placement.queue(NOW, NOW).size();
        long before = cluster.freeCapacity().machinesVisited();
        List<Machine> started = new ArrayList<>();
        placement.pass(NOW, NOW, false, (job, machines) -> {
            started.add(machines.get(0));
            claim(cluster, job, machines.get(0));
        });
        long looks = cluster.freeCapacity().machinesVisited() - before;
        assertTrue(!started.isEmpty(), "the room that came free is used");
        assertSame(freed, started.get(0));
        assertTrue(
                looks * 50 < waiting * fleet,
                looks + " looks at machines for one task that ended, " + waiting + " jobs wait");
    }

    /**
     * Found on a day with a zone cut off: hundreds of services that had lost their machines went to the fullest
     * machines with room, which then fetched several images at a share of their rate each.
     */
    @Test
    void anImageIsFetchedWhereNoOtherIs() {
        SplittableRandom random = new SplittableRandom(3);
        ClusterState cluster = RandomCluster.healthyCluster(60, random);
        Placement placement = new Placement(cluster);
        int most = 0;
        for (int i = 0; i < 30; i++) {
            JobSpec spec = new JobSpec(
                    "job-" + i,
                    "quick",
                    "red",
                    JobSpec.Kind.SERVICE,
                    JobSpec.Priority.CRITICAL,
                    1,
                    1,
                    0,
                    1,
                    "new" + i,
                    2,
                    null,
                    null,
                    false,
                    false,
                    true,
                    0,
                    0,
                    0,
                    -1);
            Job job = new Job(spec, i, NOW, 0);
            job.markAccepted();
            cluster.jobs().put(spec.id(), job);
        }
        placement.pass(NOW, NOW, false, (job, machines) -> claim(cluster, job, machines.get(0)));
        for (Machine machine : cluster.machines().values()) {
            most = Math.max(most, machine.imagesBeingPulled());
        }
        assertEquals(1, most, "images fetched at once on one machine, though others are idle");
    }

    /** Guards against a new leader in a cut that opens a connection to every machine that can't answer. */
    @Test
    void questionsToMachinesThatHangLeaveSocketsForCommands() {
        ClusterState cluster = RandomCluster.cluster(2000, new SplittableRandom(1));
        cluster.machines().values().forEach(machine -> {
            machine.agent().setHeardThisTerm(false);
            machine.setAddress(
                    "10.0.0.1:" + machine.name().substring(machine.name().length() - 4));
        });
        World w = new World(1);
        int[] open = new int[1];
        int[] most = new int[1];
        int[] asked = new int[1];
        w.hangingCalls = timeoutMs -> {
            asked[0]++;
            most[0] = Math.max(most[0], ++open[0]);
            w.after(timeoutMs, () -> open[0]--);
        };
        World.Node node = w.nodes.get("n0");
        node.start();
        HeartbeatHandler fleet = new HeartbeatHandler(
                cluster, node.environment, null, 1, null, null, new EventLoopLag(node.environment, 1));
        fleet.commandDispatcher().announceTerm();
        w.play(20);
        int commands = cluster.settings().socketBudget().commands();
        assertTrue(most[0] <= commands / 2, most[0] + " questions at once, " + commands + " sockets for commands");
        assertTrue(asked[0] > 10 * most[0], "only " + asked[0] + " were asked");
    }

    /**
     * A zone of a fleet of up to 2,100 machines is cut off, the leader crashes meanwhile, and the zone comes back at
     * once.
     */
    @Test
    void aLargeZoneThatIsCutOffStaysWithinTheRates() {
        World w = new World(7, 525, 6, 0);
        SplittableRandom random = w.random.split();
        w.play(3);
        int jobs = 0;
        for (int t = 0; t < 50; t++) {
            for (int i = 0; i < 5; i++) {
                boolean service = jobs % 5 == 0;
                w.submit(new JobSpec(
                        "job-" + jobs++,
                        "any",
                        "free",
                        service ? JobSpec.Kind.SERVICE : JobSpec.Kind.ARRAY,
                        service ? JobSpec.Priority.CRITICAL : JobSpec.Priority.NORMAL,
                        service ? 6 : 20 + random.nextInt(60),
                        2,
                        0,
                        4,
                        "img" + random.nextInt(5),
                        1,
                        null,
                        null,
                        false,
                        service,
                        !service,
                        service ? 0 : 30 + random.nextInt(60),
                        0,
                        0,
                        -1));
            }
            w.play(1);
        }
        int machines = w.cloud.runningMachines().size();
        long before = w.state.writtenKeys();
        w.cutZone("za", 45_000);
        w.play(12);
        World.Node leader = w.leader();
        leader.crash();
        w.after(5000, leader::start);
        w.play(31);
        for (World.User user : w.users.values()) { // half of each service may be in one zone, the rest waits
            assertTrue(
                    !user.spec.service() || !user.accepted || w.running(user) >= user.spec.taskCount() / 2,
                    user.spec.id() + " has " + w.running(user));
        }
        w.quietSince = w.now;
        w.play(20);
        for (World.User user : w.users.values()) {
            assertTrue(
                    !user.spec.service() || !user.accepted || w.running(user) == user.spec.taskCount(),
                    user.spec.id() + " has " + w.running(user) + " after the cut");
        }
        w.play(150);
        assertEquals(List.of(), w.violations);
        assertTrue(machines > 1000, machines + " machines are up");
        assertTrue(w.users.values().stream().allMatch(u -> u.spec.service() || "done".equals(u.end)), "work is left");
        long changes = w.state.writtenKeys() - before;
        assertTrue(changes < 213 * 50 / 2, changes + " changes in 213 s, at 50 a second");
    }

    /** A day at the grown size: rules, and how much is asked of the state service for thousands of starts and ends. */
    @Test
    void aGrownFleetStaysWithinTheRates() {
        World w = new World(5, 363, 6, 0);
        SplittableRandom random = w.random.split();
        w.play(3);
        int jobs = 0;
        for (int t = 0; t < 60; t++) {
            for (int i = 0; i < 2; i++) {
                w.submit(new JobSpec(
                        "job-" + jobs++,
                        "any",
                        "free",
                        JobSpec.Kind.ARRAY,
                        JobSpec.Priority.NORMAL,
                        20 + random.nextInt(60),
                        2,
                        0,
                        4,
                        "img" + random.nextInt(5),
                        1,
                        null,
                        null,
                        false,
                        false,
                        true,
                        10 + random.nextInt(30),
                        0,
                        0,
                        -1));
            }
            w.play(1);
        }
        World.Node leader = w.leader();
        leader.crash();
        w.after(5000, leader::start);
        w.quietSince = w.now;
        w.play(120);
        assertEquals(List.of(), w.violations);
        assertTrue(w.users.values().stream().allMatch(u -> "done".equals(u.end)), "work is left");
        assertTrue(w.starts > 5000, w.starts + " starts");
        assertTrue(
                w.state.writtenKeys() < w.starts,
                w.state.writtenKeys() + " changes for " + w.starts + " starts and as many ends");
    }
}
