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

/** Jobs whose tasks run all at the same time or not at all. */
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

    /** A gang of so many tasks that their assignments need more than one record. */
    private static JobSpec gangOfSmallTasks(int number, int tasks, double runS) {
        return JobSpecBuilder.gang(number)
                .tasks(tasks)
                .runS(runS)
                .checkpoints(3, 1)
                .build();
    }

    private static SimulatedCluster withRunning(long seed, JobSpec spec) {
        SimulatedCluster cluster = SimulatedCluster.started(seed);
        cluster.submit(spec);
        cluster.runFor(20);
        assertEquals(spec.taskCount(), cluster.tasks.running(), "all of it runs");
        return cluster;
    }

    @Test
    void aGangThatLosesAMachineRestartsAsAWhole() {
        SimulatedCluster cluster = withRunning(1, gang(1, JobSpec.Priority.URGENT, 6, true, 40));
        cluster.cloud.reclaim(cluster.tasks.busyMachine());
        assertTrue(cluster.tasks.running() < 6);
        cluster.runFor(25);
        assertEquals(6, cluster.tasks.running(), "it runs again");
        cluster.runFor(60);
        assertEquals("done", cluster.users.get("job-1").endState);
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * A task is gone before the others have noticed. They can't save a checkpoint without it, and told to do so they
     * would hold their machines until they give up, while the whole gang waits to start again.
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
                .setFaulty(true); // has room for the fifth task, the last one to begin
        int ended = cluster.tasks.ends;
        cluster.submit(gang(2, JobSpec.Priority.URGENT, 5, true, 100));
        for (int i = 0; i < 400 && cluster.tasks.ends == ended; i++) {
            cluster.runFor(0.02);
        }
        cluster.runFor(1);
        assertEquals(0, cluster.tasks.running(), "a task has failed, the others are gone");
        assertEquals(List.of(), cluster.violations);
    }

    /** Its tasks save together or not at all, so all of them hear of a reclaim notice for one machine. */
    @Test
    void aReclaimNoticeForOneMachineCheckpointsTheWholeGang() {
        SimulatedCluster cluster = withRunning(2, gang(1, JobSpec.Priority.URGENT, 6, true, 100));
        cluster.runFor(40);
        int ended = cluster.tasks.ends;
        Worker worker = cluster.workers.get(SimulatedMachines.address(cluster.tasks.busyMachine()));
        worker.reclaimNotice(12);
        cluster.runFor(6);
        assertEquals(ended + 6, cluster.tasks.ends, "all have stopped");
        cluster.runFor(20);
        assertEquals(6, cluster.tasks.running());
        cluster.runFor(65); // 50 s of work were saved
        assertEquals("done", cluster.users.get("job-1").endState);
        assertEquals(List.of(), cluster.violations);
    }

    /** Where one machine can't be reached, the others can't save; they do not wait for it. */
    @Test
    void theCheckpointIsSkippedIfAStopCannotReachAllTasks() {
        SimulatedCluster cluster = withRunning(5, gang(1, JobSpec.Priority.URGENT, 6, true, 100));
        List<String> machines = List.copyOf(cluster.tasks.machinesOf(cluster.users.get("job-1")));
        cluster.faults.partition(SimulatedMachines.address(machines.get(0)), 7000);
        cluster.runFor(5);
        assertEquals(6, cluster.tasks.running());
        Worker other = cluster.workers.get(SimulatedMachines.address(machines.get(1)));
        long there = cluster.tasks.runningOn(other.machine());
        other.reclaimNotice(12);
        cluster.runFor(1.2);
        assertEquals(6 - there, cluster.tasks.running(), "what hears the stop is gone");
        cluster.runFor(60);
        assertEquals(List.of(), cluster.violations);
    }

    /** When one task is done all are, and no leader may start the others alone. */
    @ParameterizedTest
    @ValueSource(ints = {0, 20, 60, 150, 400, 900})
    void aCompletedGangIsNotPartlyRestartedAfterAFailover(int afterMs) {
        SimulatedCluster cluster = withRunning(3, gang(1, JobSpec.Priority.URGENT, 6, false, 20));
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

    /** The leader crashes while a gang's assignments become durable: the next one finishes that attempt or ends it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void aFailoverDuringAGangStartLeavesNoPartialGang(long seed) {
        SimulatedCluster cluster = withRunning(10 + seed, gang(1, JobSpec.Priority.NORMAL, 2, false, 200));
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
     * An attempt is given up before it was stored in full, and the next one begins at once: what of the first becomes
     * durable later must not let the second start before all of the second is durable.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void anAbandonedAttemptDoesNotLetTheNextOneStartEarly(long seed) {
        SimulatedCluster cluster = SimulatedCluster.started(60 + seed);
        cluster.submit(gangOfSmallTasks(1, 80, 2));
        cluster.runFor(25); // all machines are up and free again
        SimulatedUser second = cluster.submit(gangOfSmallTasks(2, 40, 5));
        for (int i = 0; i < 100 && !second.accepted; i++) {
            cluster.runFor(0.02);
        }
        cluster.faults.commitDelayMs = 700;
        cluster.runFor(0.05);
        Worker first = cluster.workers.values().stream()
                .min(Comparator.comparing(Worker::machine))
                .orElseThrow();
        first.reclaimNotice(3);
        cluster.machines.deliverDuplicate(
                MessageCodec.decode(MessageCodec.encode(first.heartbeat())), cluster.leader());
        cluster.runFor(10);
        cluster.faults.commitDelayMs = 0;
        cluster.runFor(60);
        assertEquals(List.of(), cluster.violations);
        assertEquals("done", second.endState);
    }

    /**
     * A version before started a gang's tasks one by one, so that a leader may find assignments of several attempts.
     */
    @Test
    void assignmentsOfMixedAttemptsAreStoppedAndTheGangRestarts() {
        SimulatedCluster cluster = withRunning(40, gang(1, JobSpec.Priority.URGENT, 6, true, 30));
        cluster.controllers.values().forEach(ControllerNode::crash);
        int changed = 0;
        for (int slot = 0; slot < 1024; slot++) {
            JsonNode record = cluster.store.value("l/" + slot);
            for (JsonNode event : record == null ? List.<JsonNode>of() : record.path("e")) {
                if (event.path(0).asInt() == 0 && event.path(2).asInt() == 5) {
                    ((ArrayNode) event).set(3, event.path(3).asLong() + 7);
                    changed++;
                }
            }
        }
        assertEquals(1, changed);
        cluster.controllers.values().forEach(ControllerNode::start);
        cluster.runFor(90);
        assertEquals(List.of(), cluster.violations);
        assertEquals("done", cluster.users.get("job-1").endState);
    }

    /** Room is made for all its tasks at once, in the one zone where it may be. */
    @Test
    void preemptionMakesRoomForTheWholeGang() {
        SimulatedCluster cluster = SimulatedCluster.started(30);
        for (int i = 0; i < 40; i++) {
            cluster.submit(array(100 + i, "any", JobSpec.Priority.IDLE, 4, 400));
        }
        cluster.runFor(60);
        int full = cluster.tasks.running();
        cluster.submit(gang(1, JobSpec.Priority.URGENT, 8, true, 10));
        cluster.runFor(14);
        assertTrue(cluster.users.get("job-1").startedAt > 0, "it waits, with " + full + " tasks of less urgent work");
        assertEquals(List.of(), cluster.violations);
    }

    @Test
    void anUnschedulableGangIsRejected() {
        SimulatedCluster cluster = SimulatedCluster.started(31);
        cluster.submit(
                JobSpecBuilder.gang(1).team("blue").tasks(13).cpus(2).runS(5).build()); // 26 CPUs of 24
        cluster.submit(JobSpecBuilder.gang(2)
                .tasks(4)
                .cpus(2)
                .oneZone(true)
                .spreadAcrossZones(true)
                .runS(5)
                .build()); // in one zone, with at most half of it in each
        cluster.runFor(10);
        for (SimulatedUser user : cluster.users.values()) {
            assertFalse(user.accepted, user.spec.id());
            assertNull(user.endState);
        }
    }
}
