package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import stileferry.protocol.JobSpec;
import stileferry.protocol.PeerMessage.RequestKind;
import stileferry.protocol.UserMessages;
import stileferry.protocol.WorkerCommand;
import stileferry.protocol.WorkerMessages;
import stileferry.standin.Worker;

/** The checks of the simulated world must be able to fail; here nobody but the test gives commands and answers. */
class InvariantChecksTest {
    private static final long HIGH_TERM = 1L << 40;

    private static JobSpec spec(int number, String team, int tasks, String zone, boolean oneZone) {
        return new JobSpec(
                "job-" + number,
                "any",
                team,
                JobSpec.Kind.SERVICE,
                JobSpec.Priority.CRITICAL,
                tasks,
                4,
                0,
                1,
                "img",
                1,
                null,
                zone,
                oneZone,
                false,
                true,
                0,
                0,
                0,
                -1);
    }

    /** A world with machines up, and a job that nobody but the test will start. */
    private static SimulatedCluster with(JobSpec spec) {
        SimulatedCluster w = new SimulatedCluster(1);
        w.play(3);
        w.submit(InvariantsUnderFaultsTest.service(1, 8, 8));
        w.play(30);
        w.nodes.values().forEach(SimulatedCluster.Node::crash);
        w.users.put(spec.id(), w.new User(spec));
        return w;
    }

    private static Worker in(SimulatedCluster w, String zone, int number) {
        return w.workers.values().stream()
                .filter(x -> x.zone().equals(zone))
                .skip(number)
                .findFirst()
                .orElseThrow();
    }

    private static void run(SimulatedCluster w, Worker worker, String task) {
        worker.receiveCommands(WorkerMessages.directCommands(
                HIGH_TERM,
                worker.incarnation(),
                List.of(
                        new WorkerCommand(WorkerCommand.Kind.KILL, "job-1/0", 0, 0),
                        new WorkerCommand(WorkerCommand.Kind.RUN, task, 1, 0))));
        w.play(0.95); // it has its image, and leases stand
    }

    private static void free(SimulatedCluster w) {
        for (Worker worker : w.workers.values()) {
            for (var status :
                    stileferry.protocol.Heartbeat.read(worker.heartbeat()).tasks()) {
                worker.receiveCommands(WorkerMessages.directCommands(
                        HIGH_TERM,
                        worker.incarnation(),
                        List.of(new WorkerCommand(WorkerCommand.Kind.KILL, status.taskId(), status.attempt(), 0))));
            }
        }
    }

    private static void assertNoticed(SimulatedCluster w, String rule) {
        assertTrue(w.violations.stream().anyMatch(v -> v.startsWith(rule)), rule + " not noticed: " + w.violations);
    }

    @Test
    void theWrongZone() {
        SimulatedCluster w = with(spec(9, "free", 2, "za", false));
        free(w);
        run(w, in(w, "zb", 0), "job-9/0");
        assertNoticed(w, "wrong_place");
    }

    @Test
    void tasksApartThatMustBeTogether() {
        SimulatedCluster w = with(spec(9, "free", 2, null, true));
        free(w);
        run(w, in(w, "za", 0), "job-9/0");
        assertEquals(List.of(), w.violations);
        run(w, in(w, "zb", 0), "job-9/1");
        assertNoticed(w, "wrong_place");
    }

    @Test
    void aTeamBeyondItsLimit() {
        SimulatedCluster w = with(spec(9, "blue", 7, null, false)); // 28 CPUs of 24
        free(w);
        for (int i = 0; i < 7 && w.violations.isEmpty(); i++) {
            run(w, in(w, i % 4 < 2 ? "za" : "zb", i % 2), "job-9/" + i);
        }
        assertNoticed(w, "quota");
    }

    @Test
    void oneTaskTwice() {
        SimulatedCluster w = with(spec(9, "free", 1, null, false));
        free(w);
        run(w, in(w, "za", 0), "job-9/0");
        run(w, in(w, "zb", 0), "job-9/0");
        assertNoticed(w, "ran_twice");
    }

    @Test
    void aStartOfAGangWhoseClaimsAreNotStored() {
        SimulatedCluster w = with(spec(9, "free", 1, null, false));
        JobSpec gang = new JobSpec(
                "job-10",
                "any",
                "free",
                JobSpec.Kind.GANG,
                JobSpec.Priority.NORMAL,
                2,
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
                5,
                0,
                0,
                -1);
        List<String> noticed = new ArrayList<>();
        new StoredAssignments(w.state, id -> gang)
                .checkStarts(
                        WorkerMessages.directCommands(
                                HIGH_TERM, 1, List.of(new WorkerCommand(WorkerCommand.Kind.RUN, "job-10/0", 1, 0))),
                        noticed);
        assertEquals(1, noticed.size());
        assertTrue(noticed.get(0).startsWith("started_early"), noticed::toString);
    }

    @Test
    void anAnswerThatGoesBack() {
        SimulatedCluster w = with(spec(9, "free", 2, null, false));
        SimulatedCluster.User user = w.users.get("job-9");
        w.told(user, RequestKind.STATUS, w.now, 200, UserMessages.jobState("job-9", "done", 2, 0));
        assertEquals(List.of(), w.violations);
        w.told(user, RequestKind.STATUS, w.now + 1, 200, UserMessages.jobState("job-9", "running", 1, 1));
        assertNoticed(w, "went_back");
    }

    @Test
    void doneBeforeItIs() {
        SimulatedCluster w = with(spec(9, "free", 2, null, false));
        w.told(w.users.get("job-9"), RequestKind.STATUS, w.now, 200, UserMessages.jobState("job-9", "done", 1, 0));
        assertNoticed(w, "not_done");
    }

    @Test
    void aStartAfterAConfirmedCancellation() {
        SimulatedCluster w = with(spec(9, "free", 1, null, false));
        free(w);
        SimulatedCluster.User user = w.users.get("job-9");
        user.wantsCancel = true;
        w.told(user, RequestKind.CANCEL, w.now, 200, UserMessages.jobState("job-9", "cancelled", 0, 0));
        run(w, in(w, "za", 0), "job-9/0");
        assertNoticed(w, "ran_cancelled");
    }

    @Test
    void aJobLeftBesideFreeRoom() {
        SimulatedCluster w = new SimulatedCluster(1);
        w.play(3);
        w.submit(InvariantsUnderFaultsTest.service(1, 1, 2));
        w.play(30);
        SimulatedCluster.User user = w.new User(spec(9, "free", 1, null, false)); // as if its acceptance had been lost
        w.users.put("job-9", user);
        user.accepted = true;
        w.quietSince = w.now;
        for (int i = 0; i < 100 && w.violations.isEmpty(); i++) {
            user.heardAt = w.now;
            w.play(1);
        }
        assertNoticed(w, "waiting");
    }
}
