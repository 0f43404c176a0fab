package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.golden.ScriptedCluster.WORKERS;
import static stileferry.golden.ScriptedCluster.WORKER_ADDRESS;
import static stileferry.golden.ScriptedCluster.assertRequest;
import static stileferry.golden.ScriptedCluster.assertWorkerResponse;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import stileferry.golden.SimulatedController.PendingResponse;

/** Pins the exact bytes of heartbeats, their responses, and commands that are sent to workers directly. */
class GoldenWorkerMessagesTest {
    /** Two heartbeat intervals without a heartbeat, after which a machine gets its commands in a response only. */
    private static final long NO_DIRECT_COMMANDS_AFTER_MS = 4100;

    private static final String COMMANDS = "POST /commands";
    private static final String COMMIT = "POST /commit";

    private final ScriptedCluster cluster = new ScriptedCluster();

    @Test
    void heartbeatOfAnIdleWorkerIsAnsweredWithTheFencingTokenAlone() {
        assertWorkerResponse("token without commands", cluster.startLeader().heartbeat("heartbeat"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"vessel", "voyage", "log_seq", "helm"})
    void heartbeatWithoutARequiredFieldIsMalformed(String field) throws Exception {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        ObjectNode heartbeat = (ObjectNode) mapper.readTree(WORKERS.body("heartbeat"));
        heartbeat.remove(field);
        PendingResponse response = cluster.startLeader().heartbeat(mapper.writeValueAsBytes(heartbeat));
        assertWorkerResponse("not a report", response);
    }

    @Test
    void runCommandsAreSentDirectlyAndInTheNextHeartbeatResponse() {
        cluster.startLeaderWithAssignedTasks("submission");
        assertRequest(WORKERS, "direct run", WORKER_ADDRESS, cluster.lastRequest(COMMANDS));
        assertWorkerResponse("run commands", cluster.heartbeat("next heartbeat"));
    }

    @Test
    void spotFlagAndZoneOfAMachineAreReadFromItsHeartbeat() {
        cluster.startLeader().heartbeat("heartbeat");
        cluster.submit("submission for ordinary machines");
        assertWorkerResponse("token without commands", cluster.heartbeat("next heartbeat"));
        ScriptedCluster another = new ScriptedCluster();
        another.startLeader().heartbeat("heartbeat of an ordinary machine");
        another.submit("submission for ordinary machines in one zone");
        assertWorkerResponse("run commands", another.heartbeat("next heartbeat of an ordinary machine"));
    }

    @Test
    void responseToADirectCommandIsReadAsAHeartbeat() {
        cluster.workersRespond(COMMANDS, "answer to direct run");
        cluster.startLeaderWithAssignedTasks("submission");
        assertWorkerResponse("token without commands", cluster.heartbeat("heartbeat, pulling"));
    }

    @Test
    void killCommandsAreSentDirectlyAndInTheNextHeartbeatResponse() {
        cluster.startLeaderWithRunningTasks().cancel();
        assertRequest(WORKERS, "direct kill", WORKER_ADDRESS, cluster.lastRequest(COMMANDS));
        assertWorkerResponse("kill commands", cluster.heartbeat("heartbeat, still running"));
    }

    @Test
    void reclaimNoticeStopsTasksWithAGracePeriod() {
        cluster.startLeaderWithRunningTasks();
        assertWorkerResponse("kill commands with time to save", cluster.heartbeat("heartbeat with an eviction notice"));
        assertRequest(WORKERS, "direct kill with time to save", WORKER_ADDRESS, cluster.lastRequest(COMMANDS));
        assertWorkerResponse("kill commands with time to save", cluster.heartbeat("heartbeat, still running"));
        assertWorkerResponse("token without commands", cluster.heartbeat("heartbeat, saving"));
    }

    @Test
    void exitedTasksAreClearedOnceTheirExitIsDurable() {
        cluster.startLeader().heartbeat("heartbeat");
        cluster.environment.advance(NO_DIRECT_COMMANDS_AFTER_MS);
        cluster.submit("submission");
        assertWorkerResponse("run commands", cluster.heartbeat("next heartbeat"));
        cluster.heartbeat("heartbeat, running");
        assertWorkerResponse("token without commands", cluster.heartbeat("heartbeat, both done"));
        assertWorkerResponse("clear commands", cluster.heartbeat("heartbeat, both still done"));
    }

    @Test
    void exitedTasksThatWereStartedDirectlyAreNotClearedWithTheSameToken() {
        cluster.startLeaderWithRunningTasks();
        assertWorkerResponse("token without commands", cluster.heartbeat("heartbeat, both done"));
        assertWorkerResponse("token without commands", cluster.heartbeat("heartbeat, both still done"));
    }

    @Test
    void cancellationIsConfirmedAtOnceIfTheTaskWaitsWithItsImage() {
        cluster.startLeaderWithAssignedTasks("submission").heartbeat("heartbeat, waiting");
        assertTrue(cluster.cancel().isComplete());
    }

    @Test
    void cancellationIsNotConfirmedWhileTheTaskPullsItsImage() {
        cluster.startLeaderWithAssignedTasks("submission").heartbeat("heartbeat, pulling");
        assertEquals(false, cluster.cancel().isComplete());
    }

    /**
     * Each value is an exit reason and the bounds of its restart delay, or "never" for no restart within 5 s. The delay
     * is in milliseconds, from the heartbeat that reports the exit until the commit of the next start is sent.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "done: never",
                "halted: 0..200",
                "peers: 0..200",
                "incomplete: 0..200",
                "unknown: 500..1700",
                "error: never",
                "full: 3500..4800",
                "busy: 3500..4800"
            })
    void exitReasonDeterminesTheRestartDelay(String expected) {
        cluster.startLeaderWithRunningTasks();
        int nextCommit = cluster.environment.sentRequests(COMMIT).size() + 1; // one more commit records the exits
        String reason = expected.substring(0, expected.indexOf(':'));
        String delay = expected.substring(expected.indexOf(' ') + 1);
        cluster.heartbeat("heartbeat, exited: " + reason);
        long waitedMs = 200;
        while (waitedMs < 5000 && startRecordsFromCommit(nextCommit) == 0) {
            cluster.environment.advance(100);
            waitedMs += 100;
        }
        if (delay.equals("never")) {
            assertEquals(0, startRecordsFromCommit(nextCommit), reason);
        } else {
            String[] bounds = delay.split("\\.\\.");
            assertTrue(startRecordsFromCommit(nextCommit) > 0, reason + ": no task was started again");
            assertTrue(
                    waitedMs >= Long.parseLong(bounds[0]) && waitedMs <= Long.parseLong(bounds[1]),
                    expected + waitedMs);
        }
    }

    /** Returns the number of commits, from this one on (counted from 1), that record the start of a task of the job. */
    private long startRecordsFromCommit(int firstCommit) {
        return cluster.environment.sentRequests(COMMIT).stream()
                .skip(firstCommit - 1)
                .filter(sent -> GoldenMessages.toJson(sent.body()).contains("[0,\"job-000412\","))
                .count();
    }

    @Test
    void gangStopsWithAGracePeriodIfTheStoppedTaskSavedACheckpoint() {
        cluster.startLeaderWithAssignedTasks("gang submission").heartbeat("gang heartbeat, running");
        assertWorkerResponse("gang kill with time to save", cluster.heartbeat("gang heartbeat, one saved"));
    }

    @Test
    void gangStopsAtOnceIfTheStoppedTaskSavedNoCheckpoint() {
        cluster.startLeaderWithAssignedTasks("gang submission").heartbeat("gang heartbeat, running");
        assertWorkerResponse("gang kill at once", cluster.heartbeat("gang heartbeat, one lost its work"));
    }

    @ParameterizedTest
    @CsvSource({
        "halted, \"stopped_and_saved\":1",
        "incomplete, \"incomplete\":1",
        "peers, \"lost_a_task\":1",
        "error, \"failed\":1"
    })
    void gangExitReasonsAreCountedInTheLeaderView(String reason, String expectedCount) {
        cluster.startLeaderWithAssignedTasks("gang submission").heartbeat("gang heartbeat, running");
        cluster.heartbeat("gang heartbeat, exited: " + reason);
        String view = cluster.view("leader");
        assertTrue(view.contains(expectedCount), view);
    }

    @Test
    void heartbeatToAFollowerIsRedirectedToTheLeader() {
        assertWorkerResponse("redirect to the leader", cluster.startFollower().heartbeat("heartbeat"));
    }

    @Test
    void heartbeatIsRejectedWhileNoLeaderIsKnown() {
        cluster.storeResponds("GET /kv?starts=a/&most=500", "unavailable");
        assertWorkerResponse("no leader known", cluster.startLeader().heartbeat("heartbeat"));
    }

    @Test
    void heartbeatWithAHigherFencingTokenIsRejected() {
        cluster.startLeader().heartbeat("heartbeat");
        assertWorkerResponse("not entitled", cluster.heartbeat("heartbeat with a higher token"));
    }

    @Test
    void outdatedHeartbeatIsRejected() {
        cluster.startLeader().heartbeat("next heartbeat");
        assertWorkerResponse("not entitled", cluster.heartbeat("heartbeat"));
    }

    @Test
    void newWorkerIncarnationGetsNoCommandsOfThePreviousOne() {
        cluster.startLeaderWithAssignedTasks("submission");
        assertWorkerResponse("token without commands", cluster.heartbeat("heartbeat of the next session"));
    }

    @Test
    void tokenIsAnnouncedToAListedMachineAndAgainToItsLaterIncarnation() {
        cluster.cloudResponds("GET /hosts?most=500", "list, first page");
        cluster.cloudResponds("GET /hosts?most=500&from=host-000231", "list, empty");
        cluster.workersRespond(COMMANDS, "answer to announcement, another session", "answer to announcement");
        cluster.startLeader();
        assertRequest(
                WORKERS, "token announcement", WORKER_ADDRESS, cluster.environment.awaitRequest(COMMANDS, 1, 3000));
        assertRequest(
                WORKERS,
                "token announcement to a later session",
                WORKER_ADDRESS,
                cluster.environment.awaitRequest(COMMANDS, 2, 3000));
    }

    @Test
    void tokenIsAnnouncedToAWorkerThatHasNotSeenIt() {
        cluster.startLeader().heartbeat("heartbeat before any token");
        assertRequest(WORKERS, "token announcement", WORKER_ADDRESS, cluster.lastRequest(COMMANDS));
    }

    @Test
    void withPartialCutsSilentWorkersAreInspected() {
        cluster.workersRespond("GET /inspect", "answer to inspection");
        cluster.startLeaderWithPartialCuts().heartbeat("heartbeat");
        cluster.heartbeat("heartbeat of another worker");
        assertRequest(
                WORKERS, "inspection", WORKER_ADDRESS, cluster.environment.awaitRequest("GET /inspect", 1, 20_000));
    }
}
