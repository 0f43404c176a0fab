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
        SimulatedCluster cluster = new SimulatedCluster(1);
        cluster.runFor(3);
        cluster.submit(InvariantsUnderFaultsTest.service(1, 8, 8));
        cluster.runFor(30);
        cluster.controllers.values().forEach(ControllerNode::crash);
        cluster.users.add(spec);
        return cluster;
    }

    private static Worker in(SimulatedCluster cluster, String zone, int number) {
        return cluster.workers.values().stream()
                .filter(x -> x.zone().equals(zone))
                .skip(number)
                .findFirst()
                .orElseThrow();
    }

    private static void run(SimulatedCluster cluster, Worker worker, String task) {
        worker.receiveCommands(WorkerMessages.directCommands(
                HIGH_TERM,
                worker.incarnation(),
                List.of(
                        new WorkerCommand(WorkerCommand.Kind.KILL, "job-1/0", 0, 0),
                        new WorkerCommand(WorkerCommand.Kind.RUN, task, 1, 0))));
        cluster.runFor(0.95); // it has its image, and leases stand
    }

    private static void free(SimulatedCluster cluster) {
        for (Worker worker : cluster.workers.values()) {
            for (var status :
                    stileferry.protocol.Heartbeat.read(worker.heartbeat()).tasks()) {
                worker.receiveCommands(WorkerMessages.directCommands(
                        HIGH_TERM,
                        worker.incarnation(),
                        List.of(new WorkerCommand(WorkerCommand.Kind.KILL, status.taskId(), status.attempt(), 0))));
            }
        }
    }

    private static void assertNoticed(SimulatedCluster cluster, String rule) {
        assertTrue(
                cluster.violations.stream().anyMatch(v -> v.startsWith(rule)),
                rule + " not noticed: " + cluster.violations);
    }

    @Test
    void theWrongZone() {
        SimulatedCluster cluster = with(spec(9, "free", 2, "za", false));
        free(cluster);
        run(cluster, in(cluster, "zb", 0), "job-9/0");
        assertNoticed(cluster, "wrong_place");
    }

    @Test
    void tasksApartThatMustBeTogether() {
        SimulatedCluster cluster = with(spec(9, "free", 2, null, true));
        free(cluster);
        run(cluster, in(cluster, "za", 0), "job-9/0");
        assertEquals(List.of(), cluster.violations);
        run(cluster, in(cluster, "zb", 0), "job-9/1");
        assertNoticed(cluster, "wrong_place");
    }

    @Test
    void aTeamBeyondItsLimit() {
        SimulatedCluster cluster = with(spec(9, "blue", 7, null, false)); // 28 CPUs of 24
        free(cluster);
        for (int i = 0; i < 7 && cluster.violations.isEmpty(); i++) {
            run(cluster, in(cluster, i % 4 < 2 ? "za" : "zb", i % 2), "job-9/" + i);
        }
        assertNoticed(cluster, "quota");
    }

    @Test
    void oneTaskTwice() {
        SimulatedCluster cluster = with(spec(9, "free", 1, null, false));
        free(cluster);
        run(cluster, in(cluster, "za", 0), "job-9/0");
        run(cluster, in(cluster, "zb", 0), "job-9/0");
        assertNoticed(cluster, "ran_twice");
    }

    @Test
    void aStartOfAGangWhoseClaimsAreNotStored() {
        SimulatedCluster cluster = with(spec(9, "free", 1, null, false));
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
        new StoredAssignments(cluster.state, id -> gang)
                .checkStarts(
                        WorkerMessages.directCommands(
                                HIGH_TERM, 1, List.of(new WorkerCommand(WorkerCommand.Kind.RUN, "job-10/0", 1, 0))),
                        noticed);
        assertEquals(1, noticed.size());
        assertTrue(noticed.get(0).startsWith("started_early"), noticed::toString);
    }

    @Test
    void anAnswerThatGoesBack() {
        SimulatedCluster cluster = with(spec(9, "free", 2, null, false));
        SimulatedUser user = cluster.users.get("job-9");
        cluster.users.receiveAnswer(
                user, RequestKind.STATUS, cluster.now, 200, UserMessages.jobState("job-9", "done", 2, 0));
        assertEquals(List.of(), cluster.violations);
        cluster.users.receiveAnswer(
                user, RequestKind.STATUS, cluster.now + 1, 200, UserMessages.jobState("job-9", "running", 1, 1));
        assertNoticed(cluster, "went_back");
    }

    @Test
    void doneBeforeItIs() {
        SimulatedCluster cluster = with(spec(9, "free", 2, null, false));
        cluster.users.receiveAnswer(
                cluster.users.get("job-9"),
                RequestKind.STATUS,
                cluster.now,
                200,
                UserMessages.jobState("job-9", "done", 1, 0));
        assertNoticed(cluster, "not_done");
    }

    @Test
    void aStartAfterAConfirmedCancellation() {
        SimulatedCluster cluster = with(spec(9, "free", 1, null, false));
        free(cluster);
        SimulatedUser user = cluster.users.get("job-9");
        user.cancelRequested = true;
        cluster.users.receiveAnswer(
                user, RequestKind.CANCEL, cluster.now, 200, UserMessages.jobState("job-9", "cancelled", 0, 0));
        run(cluster, in(cluster, "za", 0), "job-9/0");
        assertNoticed(cluster, "ran_cancelled");
    }

    @Test
    void aJobLeftBesideFreeRoom() {
        SimulatedCluster cluster = new SimulatedCluster(1);
        cluster.runFor(3);
        cluster.submit(InvariantsUnderFaultsTest.service(1, 1, 2));
        cluster.runFor(30);
        SimulatedUser user = cluster.users.add(spec(9, "free", 1, null, false)); // as if its acceptance had been lost
        user.accepted = true;
        cluster.faults.endedAt = cluster.now;
        for (int i = 0; i < 100 && cluster.violations.isEmpty(); i++) {
            user.lastAnswerAt = cluster.now;
            cluster.runFor(1);
        }
        assertNoticed(cluster, "waiting");
    }
}
