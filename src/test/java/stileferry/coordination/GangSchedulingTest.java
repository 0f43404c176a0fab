package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.InvariantsUnderFaultsTest.array;
import static stileferry.coordination.InvariantsUnderFaultsTest.restart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.standin.Worker;

/** Jobs whose tasks run all at the same time or not at all. */
class GangSchedulingTest {
    private static JobSpec gang(int number, JobSpec.Priority priority, int tasks, boolean oneZone, double runS) {
        return new JobSpec(
                "job-" + number,
                "any",
                "free",
                JobSpec.Kind.GANG,
                priority,
                tasks,
                2,
                0,
                1,
                "img",
                1,
                null,
                null,
                oneZone,
                false,
                false,
                runS,
                3,
                1,
                -1);
    }

    /** A gang of so many tasks that their claims need more than one record. */
    private static JobSpec gangOfSmall(int number, int tasks, double runS) {
        return new JobSpec(
                "job-" + number,
                "any",
                "free",
                JobSpec.Kind.GANG,
                JobSpec.Priority.NORMAL,
                tasks,
                1,
                0,
                1,
                "img",
                1,
                null,
                null,
                false,
                false,
                false,
                runS,
                3,
                1,
                -1);
    }

    private static SimulatedCluster begun(long seed, JobSpec spec) {
        SimulatedCluster w = new SimulatedCluster(seed);
        w.play(3);
        w.submit(spec);
        w.play(20);
        assertEquals(spec.taskCount(), w.running(), "all of it runs");
        return w;
    }

    @Test
    void itLosesAMachineAndStartsAgainWhole() {
        SimulatedCluster w = begun(1, gang(1, JobSpec.Priority.URGENT, 6, true, 40));
        w.cloud.reclaim(w.machineInUse());
        assertTrue(w.running() < 6);
        w.play(25);
        assertEquals(6, w.running(), "it runs again");
        w.play(60);
        assertEquals("done", w.users.get("job-1").end);
        assertEquals(List.of(), w.violations);
    }

    /**
     * A task is gone before the others have noticed. They can't save without it, and told to do so they would hold
     * their machines until they give up, while the whole gang waits to start again.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void theOthersOfALostTaskStopAtOnceInsteadOfSaving(long seed) {
        SimulatedCluster w = new SimulatedCluster(seed);
        w.play(3);
        w.submit(gang(1, JobSpec.Priority.URGENT, 5, true, 2));
        w.play(20);
        List<String> machines =
                w.workers.values().stream().map(Worker::machine).sorted().toList();
        w.workers
                .get("w-" + machines.get(1) + ":1")
                .setFaulty(true); // has room for the fifth task, the last one to begin
        int ended = w.ended;
        w.submit(gang(2, JobSpec.Priority.URGENT, 5, true, 100));
        for (int i = 0; i < 400 && w.ended == ended; i++) {
            w.play(0.02);
        }
        w.play(1);
        assertEquals(0, w.running(), "a task has failed, the others are gone");
        assertEquals(List.of(), w.violations);
    }

    /** Its tasks save together or not at all, so all of them hear of a notice that concerns one machine. */
    @Test
    void aNoticeForOneMachineStopsItWholeAndSaved() {
        SimulatedCluster w = begun(2, gang(1, JobSpec.Priority.URGENT, 6, true, 100));
        w.play(40);
        int ended = w.ended;
        Worker worker = w.workers.get("w-" + w.machineInUse() + ":1");
        worker.reclaimNotice(12);
        w.play(6);
        assertEquals(ended + 6, w.ended, "all have stopped");
        w.play(20);
        assertEquals(6, w.running());
        w.play(65); // 50 s of work were saved
        assertEquals("done", w.users.get("job-1").end);
        assertEquals(List.of(), w.violations);
    }

    /** Where one machine can't hear the stop, the others can't save; they do not wait for it. */
    @Test
    void aStopThatNotAllCanHearDoesNotWaitForASave() {
        SimulatedCluster w = begun(5, gang(1, JobSpec.Priority.URGENT, 6, true, 100));
        List<String> machines = List.copyOf(w.machinesOf(w.users.get("job-1")));
        w.cut("w-" + machines.get(0) + ":1", 7000);
        w.play(5);
        assertEquals(6, w.running());
        Worker other = w.workers.get("w-" + machines.get(1) + ":1");
        long there = w.runningOn(other.machine());
        other.reclaimNotice(12);
        w.play(1.2);
        assertEquals(6 - there, w.running(), "what hears the stop is gone");
        w.play(60);
        assertEquals(List.of(), w.violations);
    }

    /** When one task is done all are, and no leader may start the others alone. */
    @ParameterizedTest
    @ValueSource(ints = {0, 20, 60, 150, 400, 900})
    void itEndsWholeWhateverIsLostThen(int afterMs) {
        SimulatedCluster w = begun(3, gang(1, JobSpec.Priority.URGENT, 6, false, 20));
        List<String> machines = List.copyOf(w.machinesOf(w.users.get("job-1")));
        for (int i = 0; i < 600 && w.running() == 6; i++) {
            w.play(0.05);
        }
        assertEquals(0, w.running());
        w.play(afterMs / 1000.0);
        w.cloud.reclaim(machines.get(0));
        restart(w, w.leader(), 300);
        w.play(60);
        assertEquals("done", w.users.get("job-1").end);
        assertEquals(List.of(), w.violations);
    }

    /** The leader ends while the claims of a gang become durable: the next one finishes that attempt or ends it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void aLeaderThatEndsAsItStartsLeavesNoPart(long seed) {
        SimulatedCluster w = begun(10 + seed, gang(1, JobSpec.Priority.NORMAL, 2, false, 200));
        w.slowStoreMs = 100;
        for (int i = 2; i < 8; i++) {
            w.submit(gang(i, JobSpec.Priority.NORMAL, 7, i % 2 == 0, 5));
        }
        w.play(0.2 + 0.15 * seed);
        restart(w, w.leader(), 300);
        w.slowStoreMs = 0;
        w.play(120);
        for (int i = 2; i < 8; i++) {
            assertEquals("done", w.users.get("job-" + i).end, "job-" + i);
        }
        assertEquals(List.of(), w.violations);
    }

    /**
     * An attempt is given up before it was stored in full, and the next one begins at once: what of the first becomes
     * durable later must not let the second start before all of it is. It did, when both were counted together.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void anAttemptGivenUpBeforeItWasStoredDoesNotLetTheNextOneStartEarly(long seed) {
        SimulatedCluster w = new SimulatedCluster(60 + seed);
        w.play(3);
        w.submit(gangOfSmall(1, 80, 2));
        w.play(25); // all machines are up and free again
        SimulatedCluster.User second = w.submit(gangOfSmall(2, 40, 5));
        for (int i = 0; i < 100 && !second.accepted; i++) {
            w.play(0.02);
        }
        w.slowWritesMs = 700;
        w.play(0.05);
        Worker first = w.workers.values().stream()
                .min(Comparator.comparing(Worker::machine))
                .orElseThrow();
        first.reclaimNotice(3);
        w.copy(MessageCodec.decode(MessageCodec.encode(first.heartbeat())), w.leader());
        w.play(10);
        w.slowWritesMs = 0;
        w.play(60);
        assertEquals(List.of(), w.violations);
        assertEquals("done", second.end);
    }

    /**
     * A version before started a gang's tasks one by one, so that a leader may find claims of more than one attempt.
     */
    @Test
    void claimsOfDifferentAttemptsAreStoppedAndTheGangStartsWhole() {
        SimulatedCluster w = begun(40, gang(1, JobSpec.Priority.URGENT, 6, true, 30));
        w.nodes.values().forEach(SimulatedCluster.Node::crash);
        int changed = 0;
        for (int slot = 0; slot < 1024; slot++) {
            JsonNode record = w.state.value("l/" + slot);
            for (JsonNode event : record == null ? List.<JsonNode>of() : record.path("e")) {
                if (event.path(0).asInt() == 0 && event.path(2).asInt() == 5) {
                    ((ArrayNode) event).set(3, event.path(3).asLong() + 7);
                    changed++;
                }
            }
        }
        assertEquals(1, changed);
        w.nodes.values().forEach(SimulatedCluster.Node::start);
        w.play(90);
        assertEquals(List.of(), w.violations);
        assertEquals("done", w.users.get("job-1").end);
    }

    /** Room is made for all its tasks at once, in the one zone where it may be. */
    @Test
    void lessUrgentWorkMakesRoomForAllOfIt() {
        SimulatedCluster w = new SimulatedCluster(30);
        w.play(3);
        for (int i = 0; i < 40; i++) {
            w.submit(array(100 + i, "any", JobSpec.Priority.IDLE, 4, 400));
        }
        w.play(60);
        int full = w.running();
        w.submit(gang(1, JobSpec.Priority.URGENT, 8, true, 10));
        w.play(14);
        assertTrue(w.users.get("job-1").startedAt > 0, "it waits, with " + full + " tasks of less urgent work");
        assertEquals(List.of(), w.violations);
    }

    @Test
    void whatCanNeverStandTogetherIsRefused() {
        SimulatedCluster w = new SimulatedCluster(31);
        w.play(3);
        w.submit(new JobSpec(
                "job-1",
                "any",
                "blue",
                JobSpec.Kind.GANG,
                JobSpec.Priority.NORMAL,
                13,
                2,
                0,
                1,
                "img",
                1,
                null,
                null,
                false,
                false,
                false,
                5,
                0,
                0,
                -1)); // 26 CPUs of 24
        w.submit(new JobSpec(
                "job-2",
                "any",
                "free",
                JobSpec.Kind.GANG,
                JobSpec.Priority.NORMAL,
                4,
                2,
                0,
                1,
                "img",
                1,
                null,
                null,
                true,
                true,
                false,
                5,
                0,
                0,
                -1)); // in one zone, with at most half of it in each
        w.play(10);
        for (SimulatedCluster.User user : w.users.values()) {
            assertFalse(user.accepted, user.spec.id());
            assertNull(user.end);
        }
    }
}
