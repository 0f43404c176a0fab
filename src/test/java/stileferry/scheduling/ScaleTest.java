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
import stileferry.protocol.MachineType;
import stileferry.protocol.Settings;

/** The size of the largest deployments: what is counted is work, not time. */
public class ScaleTest {
    private static final long NOW = 100_000;

    public static ClusterState cluster(int machines, SplittableRandom r) {
        Settings settings = new Settings(
                "n0",
                "za",
                null,
                null,
                List.of(),
                "c",
                "s",
                List.of("za", "zb"),
                List.of(new Settings.Team("red", 0, 0, 0, 0)),
                List.of(new Settings.Objective("wait", "quick", 2, 0.9)),
                new Settings.Workers(2, 10, 20),
                new Settings.State(100, 50, 8, 12),
                new Settings.Cloud(5, 3),
                1,
                100,
                5);
        ClusterState cluster = new ClusterState(settings);
        cluster.setMachineTypes(List.of(
                new MachineType("small", 8, 0, 32, 9, 0.3, 1, 0.4, 10, List.of("za", "zb")),
                new MachineType("large", 16, 0, 64, 9, 0.3, 2, 0.8, 10, List.of("za", "zb"))));
        for (int i = 0; i < machines; i++) {
            Machine m = cluster.machine(String.format("host-%06d", r.nextInt(1_000_000)));
            m.setType(cluster.machineTypes().get(r.nextInt(2)));
            m.setTypeName(m.type().name());
            m.setSpot(r.nextBoolean());
            m.agent().setHeardThisTerm(true);
            m.agent().setLastHeardAt(NOW);
            cluster.setZone(m, r.nextBoolean() ? "za" : "zb");
            for (int n = r.nextInt(3); n > 0; n--) {
                m.cacheImage("img" + r.nextInt(5), 2);
            }
            for (int n = r.nextInt(4); n > 0; n--) {
                m.recordSlowdown(10, r.nextInt(120), 60);
            }
            m.instance().setQuarantined(r.nextInt(40) == 0);
            cluster.freeCapacity().update(m);
        }
        return cluster;
    }

    private static Job job(ClusterState cluster, int number, SplittableRandom r) {
        boolean service = r.nextInt(4) == 0;
        Job job = new Job(
                new JobSpec(
                        "job-" + number,
                        r.nextInt(3) == 0 ? "quick" : "any",
                        "red",
                        service ? JobSpec.Kind.SERVICE : JobSpec.Kind.ARRAY,
                        JobSpec.Priority.values()[r.nextInt(4)],
                        1 + r.nextInt(6),
                        0.5 * (1 + r.nextInt(8)),
                        0,
                        1 + r.nextInt(12),
                        "img" + r.nextInt(5),
                        2,
                        r.nextInt(5) == 0 ? List.of("large") : null,
                        r.nextInt(5) == 0 ? "za" : null,
                        r.nextInt(6) == 0,
                        r.nextInt(4) == 0,
                        r.nextBoolean(),
                        60,
                        0,
                        0,
                        -1),
                number,
                NOW,
                0);
        job.setAccepted(true);
        cluster.jobs().put(job.spec().id(), job);
        return job;
    }

    /** The design's choice, by looking at every machine in the order of names. */
    private static Machine plainChoice(ClusterState cluster, Placement placement, Job job) {
        Machine best = null;
        for (Machine m : cluster.machines().values()) {
            double cpus = job.spec().cpus();
            double memory = job.spec().memoryGb();
            for (TaskAssignment c : m.assignments().values()) {
                cpus += c.job().spec().cpus();
                memory += c.job().spec().memoryGb();
            }
            if (cpus <= m.type().cpus() + 1e-6
                    && memory <= m.type().memoryGb() + 1e-6
                    && placement.allowed(job, m, NOW)
                    && (best == null || placement.better(job, m, best))) {
                best = m;
            }
        }
        return best;
    }

    /** The order of the queue by the words of the design: the head if it fits, else the lowest rank times position. */
    private static List<String> plainPass(ClusterState cluster, Placement placement) {
        List<String> starts = new ArrayList<>();
        placement.markGuaranteed();
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
        TaskAssignment claim =
                new TaskAssignment(job, job.completedOrAssigned().nextClearBit(0), 1, machine.name(), 1, NOW);
        cluster.assign(claim);
        return claim.taskId() + " on " + machine.name();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void theFastPassDecidesAsThePlainOne(long seed) {
        SplittableRandom a = new SplittableRandom(seed);
        SplittableRandom b = new SplittableRandom(seed);
        ClusterState fast = cluster(12, a);
        ClusterState plain = cluster(12, b);
        int started = 0;
        for (int round = 0; round < 4; round++) {
            for (int i = 0; i < 8; i++) {
                job(fast, 100 * round + i, a);
                job(plain, 100 * round + i, b);
            }
            List<String> starts = new ArrayList<>();
            new Placement(fast).pass(NOW, NOW, false, (job, machines) -> starts.add(claim(fast, job, machines.get(0))));
            assertEquals(plainPass(plain, new Placement(plain)), starts);
            started += starts.size();
            for (ClusterState cluster : List.of(fast, plain)) { // every third task ends
                SplittableRandom r = new SplittableRandom(seed + round);
                for (Job job : cluster.jobs().values()) {
                    for (TaskAssignment c : List.copyOf(job.assignments().values())) {
                        if (r.nextInt(3) == 0) {
                            cluster.unassign(c, true);
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
        SplittableRandom r = new SplittableRandom(1);
        ClusterState cluster = cluster(fleet, r);
        Placement placement = new Placement(cluster);
        for (int i = 0; i < 6 * fleet; i++) {
            job(cluster, i, r);
        }
        int passes = 0;
        do {
            placement.pass(NOW, NOW, false, (job, machines) -> claim(cluster, job, machines.get(0)));
            passes++;
        } while (placement.cutShort());
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
        SplittableRandom r = new SplittableRandom(3);
        ClusterState cluster = cluster(60, r);
        cluster.machines().values().forEach(m -> m.instance().setQuarantined(false));
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
            job.setAccepted(true);
            cluster.jobs().put(spec.id(), job);
        }
        placement.pass(NOW, NOW, false, (job, machines) -> claim(cluster, job, machines.get(0)));
        for (Machine m : cluster.machines().values()) {
            most = Math.max(most, m.imagesBeingPulled());
        }
        assertEquals(1, most, "images fetched at once on one machine, though others are idle");
    }

    /** Guards against a new leader in a cut that opens a connection to every machine that can't answer. */
    @Test
    void questionsToMachinesThatHangLeaveSocketsForCommands() {
        ClusterState cluster = cluster(2000, new SplittableRandom(1));
        cluster.machines().values().forEach(m -> {
            m.agent().setHeardThisTerm(false);
            m.setAddress("10.0.0.1:" + m.name().substring(m.name().length() - 4));
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
        fleet.commands().announceTerm();
        w.play(20);
        int commands = cluster.settings().sockets().commands();
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
        SplittableRandom r = w.random.split();
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
                        service ? 6 : 20 + r.nextInt(60),
                        2,
                        0,
                        4,
                        "img" + r.nextInt(5),
                        1,
                        null,
                        null,
                        false,
                        service,
                        !service,
                        service ? 0 : 30 + r.nextInt(60),
                        0,
                        0,
                        -1));
            }
            w.play(1);
        }
        int machines = w.cloud.up().size();
        long before = w.state.changes();
        w.cutZone("za", 45_000);
        w.play(12);
        World.Node leader = w.leader();
        leader.crash();
        w.after(5000, leader::start);
        w.play(31);
        for (World.User u : w.users.values()) { // half of each service may be in one zone, the rest waits
            assertTrue(
                    !u.spec.service() || !u.accepted || w.running(u) >= u.spec.taskCount() / 2,
                    u.spec.id() + " has " + w.running(u));
        }
        w.quietSince = w.now;
        w.play(20);
        for (World.User u : w.users.values()) {
            assertTrue(
                    !u.spec.service() || !u.accepted || w.running(u) == u.spec.taskCount(),
                    u.spec.id() + " has " + w.running(u) + " after the cut");
        }
        w.play(150);
        assertEquals(List.of(), w.violations);
        assertTrue(machines > 1000, machines + " machines are up");
        assertTrue(w.users.values().stream().allMatch(u -> u.spec.service() || "done".equals(u.end)), "work is left");
        long changes = w.state.changes() - before;
        assertTrue(changes < 213 * 50 / 2, changes + " changes in 213 s, at 50 a second");
    }

    /** A day at the grown size: rules, and how much is asked of the state service for thousands of starts and ends. */
    @Test
    void aGrownFleetStaysWithinTheRates() {
        World w = new World(5, 363, 6, 0);
        SplittableRandom r = w.random.split();
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
                        20 + r.nextInt(60),
                        2,
                        0,
                        4,
                        "img" + r.nextInt(5),
                        1,
                        null,
                        null,
                        false,
                        false,
                        true,
                        10 + r.nextInt(30),
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
                w.state.changes() < w.starts,
                w.state.changes() + " changes for " + w.starts + " starts and as many ends");
    }
}
