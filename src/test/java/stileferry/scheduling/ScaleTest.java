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
import stileferry.leadership.FencingTokens;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.Settings;

/** Simulates clusters as large as the largest deployments. The limits apply to counted operations, not to run time. */
public class ScaleTest {
    /**
     * Guards against a new leader that, during a network partition, opens a connection to every machine that can't
     * respond.
     */
    @Test
    void requestsToHangingWorkersLeaveSocketsForCommands() {
        ClusterState cluster = new ClusterState(TestSettings.with(
                List.of(new Settings.Team("red", 0, 0, 0, 0)),
                new Settings.ServiceLevelObjective("wait", "quick", 2, 0.9)));
        for (int i = 0; i < 2000; i++) {
            cluster.getOrAddMachine(String.format("host-%06d", i)).setAddress("10.0.0.1:" + (1000 + i));
        }
        SimulatedCluster simulation = new SimulatedCluster(1);
        int[] openRequests = new int[1];
        int[] maxOpenRequests = new int[1];
        int[] sentRequests = new int[1];
        simulation.faults.workerCallsHang = timeoutMs -> {
            sentRequests[0]++;
            maxOpenRequests[0] = Math.max(maxOpenRequests[0], ++openRequests[0]);
            simulation.after(timeoutMs, () -> openRequests[0]--);
        };
        ControllerNode node = simulation.controllers.get("n0");
        node.start();
        HeartbeatHandler heartbeatHandler = new HeartbeatHandler(
                cluster,
                node.environment,
                null,
                new FencingTokens(1, 1),
                null,
                null,
                new EventLoopLag(node.environment, 1));
        heartbeatHandler.commandDispatcher().announceTerm();
        simulation.runFor(20);
        int commands = cluster.settings().socketBudget().commands();
        assertTrue(
                maxOpenRequests[0] <= commands / 2,
                maxOpenRequests[0] + " concurrent requests, " + commands + " sockets for commands");
        assertTrue(sentRequests[0] > 10 * maxOpenRequests[0], "only " + sentRequests[0] + " requests were sent");
    }

    /** Creates a job: every fifth one is a service that is spread across zones, the others are arrays. */
    private static JobSpec randomJob(int number, SplittableRandom random) {
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

    /** Asserts for each accepted service that its numbers of running tasks and of all tasks satisfy the predicate. */
    private static void assertServicesRun(
            SimulatedCluster simulation, BiPredicate<Long, Integer> enoughRunning, String messageSuffix) {
        for (SimulatedUser user : simulation.users.values()) {
            assertTrue(
                    !user.spec.isService()
                            || !user.accepted
                            || enoughRunning.test(simulation.tasks.running(user), user.spec.taskCount()),
                    user.spec.id() + " has running tasks: " + simulation.tasks.running(user) + messageSuffix);
        }
    }

    /**
     * One zone of a cluster with up to 2,100 machines is partitioned, the leader crashes during the partition, and all
     * machines of the zone become reachable again at the same time.
     */
    @Test
    void largeZonePartitionStaysWithinRateLimits() {
        SimulatedCluster simulation = new SimulatedCluster(7, 525, 6, 0);
        SplittableRandom random = simulation.random.split();
        simulation.runFor(3);
        int jobs = 0;
        for (int second = 0; second < 50; second++) {
            for (int i = 0; i < 5; i++) {
                simulation.submit(randomJob(jobs++, random));
            }
            simulation.runFor(1);
        }
        int machines = simulation.cloud.runningMachines().size();
        long keysWrittenBefore = simulation.store.writtenKeyCount();
        simulation.faults.partitionZone("za", 45_000);
        simulation.runFor(12);
        ControllerNode leader = simulation.leader();
        leader.crash();
        simulation.after(5000, leader::start);
        simulation.runFor(31);
        assertServicesRun(
                simulation,
                (running, tasks) -> running >= tasks / 2,
                ""); // the other tasks were in the partitioned zone and are pending
        simulation.faults.endedAt = simulation.now;
        simulation.runFor(20);
        assertServicesRun(simulation, (running, tasks) -> running == tasks.longValue(), " after the partition");
        simulation.runFor(150);
        assertEquals(List.of(), simulation.violations);
        assertTrue(machines > 1000, machines + " machines are up");
        assertTrue(
                simulation.users.values().stream()
                        .allMatch(user -> user.spec.isService() || "done".equals(user.endState)),
                "some jobs are not done");
        long keysWritten = simulation.store.writtenKeyCount() - keysWrittenBefore;
        assertTrue(keysWritten < 213 * 50 / 2, keysWritten + " keys written in 213 s, at a limit of 50 per second");
    }

    /** Checks the invariants and the number of writes to the key-value store for thousands of task starts and ends. */
    @Test
    void grownClusterStaysWithinRateLimits() {
        SimulatedCluster simulation = new SimulatedCluster(5, 363, 6, 0);
        SplittableRandom random = simulation.random.split();
        simulation.runFor(3);
        int jobs = 0;
        for (int second = 0; second < 60; second++) {
            for (int i = 0; i < 2; i++) {
                simulation.submit(JobSpecBuilder.array(jobs++)
                        .tasks(20 + random.nextInt(60))
                        .cpus(2)
                        .memoryGb(4)
                        .image("img" + random.nextInt(5))
                        .allowsSpot(true)
                        .runS(10 + random.nextInt(30))
                        .build());
            }
            simulation.runFor(1);
        }
        ControllerNode leader = simulation.leader();
        leader.crash();
        simulation.after(5000, leader::start);
        simulation.faults.endedAt = simulation.now;
        simulation.runFor(120);
        assertEquals(List.of(), simulation.violations);
        assertTrue(
                simulation.users.values().stream().allMatch(user -> "done".equals(user.endState)),
                "some jobs are not done");
        assertTrue(simulation.tasks.starts > 5000, simulation.tasks.starts + " starts");
        assertTrue(
                simulation.store.writtenKeyCount() < simulation.tasks.starts,
                simulation.store.writtenKeyCount() + " keys written for " + simulation.tasks.starts
                        + " task starts and as many ends");
    }
}
