package stileferry.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;
import stileferry.cluster.ClusterState;
import stileferry.cluster.TestSettings;
import stileferry.coordination.ControllerNode;
import stileferry.coordination.SimulatedCluster;
import stileferry.coordination.SimulatedUser;
import stileferry.heartbeat.EventLoopLag;
import stileferry.heartbeat.HeartbeatHandler;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.Settings;

/** Simulated clusters of the size of the largest deployments: what is counted is work, not time. */
public class ScaleTest {
    /** Guards against a new leader in a cut that opens a connection to every machine that can't answer. */
    @Test
    void questionsToMachinesThatHangLeaveSocketsForCommands() {
        ClusterState cluster = new ClusterState(TestSettings.with(
                List.of(new Settings.Team("red", 0, 0, 0, 0)),
                new Settings.ServiceLevelObjective("wait", "quick", 2, 0.9)));
        for (int i = 0; i < 2000; i++) {
            cluster.machine(String.format("host-%06d", i)).setAddress("10.0.0.1:" + (1000 + i));
        }
        SimulatedCluster world = new SimulatedCluster(1);
        int[] open = new int[1];
        int[] most = new int[1];
        int[] asked = new int[1];
        world.faults.workerCallsHang = timeoutMs -> {
            asked[0]++;
            most[0] = Math.max(most[0], ++open[0]);
            world.after(timeoutMs, () -> open[0]--);
        };
        ControllerNode node = world.controllers.get("n0");
        node.start();
        HeartbeatHandler heartbeatHandler = new HeartbeatHandler(
                cluster, node.environment, null, 1, null, null, new EventLoopLag(node.environment, 1));
        heartbeatHandler.commandDispatcher().announceTerm();
        world.runFor(20);
        int commands = cluster.settings().socketBudget().commands();
        assertTrue(most[0] <= commands / 2, most[0] + " questions at once, " + commands + " sockets for commands");
        assertTrue(asked[0] > 10 * most[0], "only " + asked[0] + " were asked");
    }

    /** Every fifth job is a service spread across zones, the others are arrays. */
    private static JobSpec someJob(int number, SplittableRandom random) {
        boolean service = number % 5 == 0;
        return JobSpecBuilder.of(service ? JobSpec.Kind.SERVICE : JobSpec.Kind.ARRAY, "job-" + number)
                .tasks(service ? 6 : 20 + random.nextInt(60))
                .cpus(2)
                .memoryGb(4)
                .image("img" + random.nextInt(5))
                .spreadAcrossZones(service)
                .allowsSpot(!service)
                .runS(service ? 0 : 30 + random.nextInt(60))
                .build();
    }

    /** Checks of each accepted service how many of its tasks run, given as the first number, of how many. */
    private static void assertServicesRun(SimulatedCluster world, BiPredicate<Long, Integer> enough, String when) {
        for (SimulatedUser user : world.users.values()) {
            assertTrue(
                    !user.spec.isService()
                            || !user.accepted
                            || enough.test(world.tasks.running(user), user.spec.taskCount()),
                    user.spec.id() + " has " + world.tasks.running(user) + when);
        }
    }

    /**
     * A zone of a cluster of up to 2,100 machines is cut off, the leader crashes meanwhile, and the zone comes back at
     * once.
     */
    @Test
    void aLargeZoneThatIsCutOffStaysWithinTheRates() {
        SimulatedCluster world = new SimulatedCluster(7, 525, 6, 0);
        SplittableRandom random = world.random.split();
        world.runFor(3);
        int jobs = 0;
        for (int second = 0; second < 50; second++) {
            for (int i = 0; i < 5; i++) {
                world.submit(someJob(jobs++, random));
            }
            world.runFor(1);
        }
        int machines = world.cloud.runningMachines().size();
        long changesBefore = world.store.writtenKeys();
        world.faults.partitionZone("za", 45_000);
        world.runFor(12);
        ControllerNode leader = world.leader();
        leader.crash();
        world.after(5000, leader::start);
        world.runFor(31);
        assertServicesRun(world, (running, tasks) -> running >= tasks / 2, ""); // the others were in the zone and wait
        world.faults.endedAt = world.now;
        world.runFor(20);
        assertServicesRun(world, (running, tasks) -> running == tasks.longValue(), " after the cut");
        world.runFor(150);
        assertEquals(List.of(), world.violations);
        assertTrue(machines > 1000, machines + " machines are up");
        assertTrue(
                world.users.values().stream().allMatch(user -> user.spec.isService() || "done".equals(user.endState)),
                "work is left");
        long changes = world.store.writtenKeys() - changesBefore;
        assertTrue(changes < 213 * 50 / 2, changes + " changes in 213 s, at 50 a second");
    }

    /** A day at the grown size: rules, and how much is asked of the state service for thousands of starts and ends. */
    @Test
    void aGrownClusterStaysWithinTheRates() {
        SimulatedCluster world = new SimulatedCluster(5, 363, 6, 0);
        SplittableRandom random = world.random.split();
        world.runFor(3);
        int jobs = 0;
        for (int second = 0; second < 60; second++) {
            for (int i = 0; i < 2; i++) {
                world.submit(JobSpecBuilder.array(jobs++)
                        .tasks(20 + random.nextInt(60))
                        .cpus(2)
                        .memoryGb(4)
                        .image("img" + random.nextInt(5))
                        .allowsSpot(true)
                        .runS(10 + random.nextInt(30))
                        .build());
            }
            world.runFor(1);
        }
        ControllerNode leader = world.leader();
        leader.crash();
        world.after(5000, leader::start);
        world.faults.endedAt = world.now;
        world.runFor(120);
        assertEquals(List.of(), world.violations);
        assertTrue(world.users.values().stream().allMatch(user -> "done".equals(user.endState)), "work is left");
        assertTrue(world.tasks.starts > 5000, world.tasks.starts + " starts");
        assertTrue(
                world.store.writtenKeys() < world.tasks.starts,
                world.store.writtenKeys() + " changes for " + world.tasks.starts + " starts and as many ends");
    }
}
