package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.Workloads.array;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.protocol.JobSpec;
import stileferry.protocol.JobSpecBuilder;
import stileferry.protocol.MessageCodec;
import stileferry.standin.Worker;

/** Tests gangs: jobs whose tasks run either all at the same time or not at all. */
class GangSchedulingTest {
    private static JobSpec gang(int number, JobSpec.Priority priority, int tasks, boolean oneZone, double runS) {
        return JobSpecBuilder.gang(number)
                .priority(priority)
                .tasks(tasks)
                .cpus(2)
                .oneZone(oneZone)
                .runS(runS)
                .checkpoints(3, 1)
                .build();
    }

    /** Returns a gang of so many small tasks that their assignments need more than one stored record. */
    private static JobSpec gangOfSmallTasks(int number, int tasks, double runS) {
        return JobSpecBuilder.gang(number)
                .tasks(tasks)
                .runS(runS)
                .checkpoints(3, 1)
                .build();
    }

    private static SimulatedCluster runningGang(long seed, JobSpec spec) {
        SimulatedCluster cluster = SimulatedCluster.started(seed);
        cluster.submit(spec);
        cluster.runFor(20);
        assertEquals(spec.taskCount(), cluster.tasks.running(), "all tasks run");
        return cluster;
    }

    @Test
    void aGangThatLosesAMachineRestartsAsAWhole() {
        SimulatedCluster cluster = runningGang(1, gang(1, JobSpec.Priority.URGENT, 6, true, 40));
        cluster.cloud.reclaim(cluster.tasks.busyMachine());
        assertTrue(cluster.tasks.running() < 6);
        cluster.runFor(25);
        assertEquals(6, cluster.tasks.running(), "the whole gang runs again");
        cluster.runFor(60);
        assertEquals("done", cluster.users.get("job-1").endState);
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * A task has failed and the other tasks of the gang have not noticed yet. They can't save a checkpoint without it.
     * If they were asked to, they would occupy their machines until they stop waiting for it, and the restart of the
     * gang would have to wait.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void peersOfALostTaskStopWithoutCheckpoint(long seed) {
        SimulatedCluster cluster = SimulatedCluster.started(seed);
        cluster.submit(gang(1, JobSpec.Priority.URGENT, 5, true, 2));
        cluster.runFor(20);
        List<String> machines =
                cluster.workers.values().stream().map(Worker::machine).sorted().toList();
        cluster.workers
                .get(SimulatedMachines.address(machines.get(1)))
                .setFaulty(true); // has capacity for the fifth task, the last one to start
        int endsBefore = cluster.tasks.ends;
        cluster.submit(gang(2, JobSpec.Priority.URGENT, 5, true, 100));
        for (int i = 0; i < 400 && cluster.tasks.ends == endsBefore; i++) {
            cluster.runFor(0.02);
        }
        cluster.runFor(1);
        assertEquals(0, cluster.tasks.running(), "the peers of the failed task must have stopped");
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * A gang's tasks save a checkpoint together or not at all, so a reclaim notice for one machine stops all of them.
     */
    @Test
    void aReclaimNoticeForOneMachineCheckpointsTheWholeGang() {
        SimulatedCluster cluster = runningGang(2, gang(1, JobSpec.Priority.URGENT, 6, true, 100));
        cluster.runFor(40);
        int endsBefore = cluster.tasks.ends;
        Worker worker = cluster.workers.get(SimulatedMachines.address(cluster.tasks.busyMachine()));
        worker.setReclaimNoticeS(12);
        cluster.runFor(6);
        assertEquals(endsBefore + 6, cluster.tasks.ends, "all tasks must have stopped");
        cluster.runFor(20);
        assertEquals(6, cluster.tasks.running());
        cluster.runFor(65); // the checkpoint holds 50 s of work
        assertEquals("done", cluster.users.get("job-1").endState);
        assertEquals(List.of(), cluster.violations);
    }

    /** If the stop command can't reach one task, the others can't save a checkpoint, so they stop without waiting. */
    @Test
    void theCheckpointIsSkippedIfAStopCannotReachAllTasks() {
        SimulatedCluster cluster = runningGang(5, gang(1, JobSpec.Priority.URGENT, 6, true, 100));
        List<String> machines = List.copyOf(cluster.tasks.machinesOf(cluster.users.get("job-1")));
        cluster.faults.partition(SimulatedMachines.address(machines.get(0)), 7000);
        cluster.runFor(5);
        assertEquals(6, cluster.tasks.running());
        Worker other = cluster.workers.get(SimulatedMachines.address(machines.get(1)));
        long tasksOnOther = cluster.tasks.runningOn(other.machine());
        other.setReclaimNoticeS(12);
        cluster.runFor(1.2);
        assertEquals(
                6 - tasksOnOther, cluster.tasks.running(), "the tasks that receive the stop command must have ended");
        cluster.runFor(60);
        assertEquals(List.of(), cluster.violations);
    }

    /** Once one task of a gang is done, all of them are: a new leader must not start the others alone. */
    @ParameterizedTest
    @ValueSource(ints = {0, 20, 60, 150, 400, 900})
    void aCompletedGangIsNotPartlyRestartedAfterAFailover(int afterMs) {
        SimulatedCluster cluster = runningGang(3, gang(1, JobSpec.Priority.URGENT, 6, false, 20));
        List<String> machines = List.copyOf(cluster.tasks.machinesOf(cluster.users.get("job-1")));
        for (int i = 0; i < 600 && cluster.tasks.running() == 6; i++) {
            cluster.runFor(0.05);
        }
        assertEquals(0, cluster.tasks.running());
        cluster.runFor(afterMs / 1000.0);
        cluster.cloud.reclaim(machines.get(0));
        cluster.faults.restart(cluster.leader(), 300);
        cluster.runFor(60);
        assertEquals("done", cluster.users.get("job-1").endState);
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * The leader crashes while a gang's assignments become durable; the next leader completes the attempt or ends it.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void aFailoverDuringAGangStartLeavesNoPartialGang(long seed) {
        SimulatedCluster cluster = runningGang(10 + seed, gang(1, JobSpec.Priority.NORMAL, 2, false, 200));
        cluster.faults.storeResponseDelayMs = 100;
        for (int i = 2; i < 8; i++) {
            cluster.submit(gang(i, JobSpec.Priority.NORMAL, 7, i % 2 == 0, 5));
        }
        cluster.runFor(0.2 + 0.15 * seed);
        cluster.faults.restart(cluster.leader(), 300);
        cluster.faults.storeResponseDelayMs = 0;
        cluster.runFor(120);
        for (int i = 2; i < 8; i++) {
            assertEquals("done", cluster.users.get("job-" + i).endState, "job-" + i);
        }
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * An attempt is abandoned before all its assignments are durable, and the next attempt begins at once. Assignments
     * of the first attempt that become durable later must not let the second start before all of its own are durable.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void anAbandonedAttemptDoesNotLetTheNextOneStartEarly(long seed) {
        SimulatedCluster cluster = SimulatedCluster.started(60 + seed);
        cluster.submit(gangOfSmallTasks(1, 80, 2));
        cluster.runFor(25); // all machines have booted and are free again
        SimulatedUser secondGang = cluster.submit(gangOfSmallTasks(2, 40, 5));
        for (int i = 0; i < 100 && !secondGang.accepted; i++) {
            cluster.runFor(0.02);
        }
        cluster.faults.commitDelayMs = 700;
        cluster.runFor(0.05);
        Worker firstWorker = cluster.workers.values().stream()
                .min(Comparator.comparing(Worker::machine))
                .orElseThrow();
        firstWorker.setReclaimNoticeS(3);
        cluster.machines.deliverDuplicate(
                MessageCodec.decode(MessageCodec.encode(firstWorker.heartbeat())), cluster.leader());
        cluster.runFor(10);
        cluster.faults.commitDelayMs = 0;
        cluster.runFor(60);
        assertEquals(List.of(), cluster.violations);
        assertEquals("done", secondGang.endState);
    }

    /**
     * An earlier version started the tasks of a gang one by one, so a leader may find stored assignments of different
     * attempts.
     */
    @Test
    void assignmentsOfMixedAttemptsAreStoppedAndTheGangRestarts() {
        SimulatedCluster cluster = runningGang(40, gang(1, JobSpec.Priority.URGENT, 6, true, 30));
        cluster.controllers.values().forEach(ControllerNode::crash);
        int changedEvents = 0;
        for (int slot = 0; slot < 1024; slot++) {
            JsonNode record = cluster.store.value("l/" + slot);
            for (JsonNode event : record == null ? List.<JsonNode>of() : record.path("e")) {
                if (event.path(0).asInt() == 0 && event.path(2).asInt() == 5) {
                    ((ArrayNode) event).set(3, event.path(3).asLong() + 7);
                    changedEvents++;
                }
            }
        }
        assertEquals(1, changedEvents);
        cluster.controllers.values().forEach(ControllerNode::start);
        cluster.runFor(90);
        assertEquals(List.of(), cluster.violations);
        assertEquals("done", cluster.users.get("job-1").endState);
    }

    /** Preemption frees capacity for all tasks of a gang at once, in a single zone. */
    @Test
    void preemptionMakesRoomForTheWholeGang() {
        SimulatedCluster cluster = SimulatedCluster.started(30);
        for (int i = 0; i < 40; i++) {
            cluster.submit(array(100 + i, "any", JobSpec.Priority.IDLE, 4, 400));
        }
        cluster.runFor(60);
        int runningBefore = cluster.tasks.running();
        cluster.submit(gang(1, JobSpec.Priority.URGENT, 8, true, 10));
        cluster.runFor(14);
        assertTrue(
                cluster.users.get("job-1").startedAt > 0,
                "the gang still waits, with " + runningBefore + " tasks of lower priority running before");
        assertEquals(List.of(), cluster.violations);
    }

    @Test
    void anUnschedulableGangIsRejected() {
        SimulatedCluster cluster = SimulatedCluster.started(31);
        cluster.submit(JobSpecBuilder.gang(1)
                .team("blue")
                .tasks(13)
                .cpus(2)
                .runS(5)
                .build()); // 26 CPUs, above the team's limit of 24
        cluster.submit(JobSpecBuilder.gang(2)
                .tasks(4)
                .cpus(2)
                .oneZone(true)
                .spreadAcrossZones(true)
                .runS(5)
                .build()); // all tasks in one zone, but at most half of them in any zone
        cluster.runFor(10);
        for (SimulatedUser user : cluster.users.values()) {
            assertFalse(user.accepted, user.spec.id());
            assertNull(user.endState);
        }
    }
}
