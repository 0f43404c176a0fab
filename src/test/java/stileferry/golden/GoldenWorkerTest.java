package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.golden.ScriptedCluster.WORKER;
import static stileferry.golden.ScriptedCluster.WORKERS;
import static stileferry.golden.ScriptedCluster.assertSent;
import static stileferry.golden.ScriptedCluster.assertToWorker;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import stileferry.golden.SimulatedController.Heard;

/** Heartbeats of workers, their answers, and direct commands, as the exact bytes on the wire. */
class GoldenWorkerTest {
    private static final String COMMANDS = "POST /commands";
    private static final String COMMIT = "POST /commit";

    private final ScriptedCluster cluster = new ScriptedCluster();

    @Test
    void aHeartbeatWithoutWorkIsAnsweredWithTheFencingTokenAlone() {
        assertToWorker("token without commands", cluster.lead().heartbeat("heartbeat"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"vessel", "voyage", "log_seq", "helm"})
    void aHeartbeatWithoutOneOfTheseFieldsIsMalformed(String field) throws Exception {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        ObjectNode heartbeat = (ObjectNode) mapper.readTree(WORKERS.body("heartbeat"));
        heartbeat.remove(field);
        Heard heard = cluster.lead().report(mapper.writeValueAsBytes(heartbeat));
        assertToWorker("not a report", heard);
    }

    @Test
    void runCommandsGoOutDirectlyAndInTheAnswerToTheNextHeartbeat() {
        cluster.leadWithClaimedTasks("submission");
        assertSent(WORKERS, "direct run", WORKER, cluster.lastSent(COMMANDS));
        assertToWorker("run commands", cluster.heartbeat("next heartbeat"));
    }

    @Test
    void theKindAndZoneOfAMachineAreReadFromItsHeartbeat() {
        cluster.lead().heartbeat("heartbeat");
        cluster.submit("submission for ordinary machines");
        assertToWorker("token without commands", cluster.heartbeat("next heartbeat"));
        ScriptedCluster another = new ScriptedCluster();
        another.lead().heartbeat("heartbeat of an ordinary machine");
        another.submit("submission for ordinary machines in one zone");
        assertToWorker("run commands", another.heartbeat("next heartbeat of an ordinary machine"));
    }

    @Test
    void theAnswerToADirectCommandIsReadAsAHeartbeat() {
        cluster.workersAnswer(COMMANDS, "answer to direct run");
        cluster.leadWithClaimedTasks("submission");
        assertToWorker("token without commands", cluster.heartbeat("heartbeat, pulling"));
    }

    @Test
    void tasksOfACancelledJobAreKilledDirectlyAndInTheAnswerToTheNextHeartbeat() {
        cluster.leadWithRunningTasks().withdraw();
        assertSent(WORKERS, "direct kill", WORKER, cluster.lastSent(COMMANDS));
        assertToWorker("kill commands", cluster.heartbeat("heartbeat, still running"));
    }

    @Test
    void anEvictionNoticeKillsTasksWithTimeToSave() {
        cluster.leadWithRunningTasks();
        assertToWorker("kill commands with time to save", cluster.heartbeat("heartbeat with an eviction notice"));
        assertSent(WORKERS, "direct kill with time to save", WORKER, cluster.lastSent(COMMANDS));
        assertToWorker("kill commands with time to save", cluster.heartbeat("heartbeat, still running"));
        assertToWorker("token without commands", cluster.heartbeat("heartbeat, saving"));
    }

    @Test
    void exitedTasksAreClearedOnceTheirEndIsDurable() {
        cluster.leadWithRunningTasks();
        assertToWorker("token without commands", cluster.heartbeat("heartbeat, both done"));
        assertToWorker("clear commands", cluster.heartbeat("heartbeat, both still done"));
    }

    @Test
    void aWaitingTaskHasItsImageSoThatACancellationIsConfirmedAtOnce() {
        cluster.leadWithClaimedTasks("submission").heartbeat("heartbeat, waiting");
        assertTrue(cluster.withdraw().answered());
    }

    @Test
    void aPullingTaskMayStillBeginSoThatACancellationIsNotConfirmed() {
        cluster.leadWithClaimedTasks("submission").heartbeat("heartbeat, pulling");
        assertEquals(false, cluster.withdraw().answered());
    }

    /** Milliseconds from the exit of tasks to the record of their next start, within which each reason's pause ends. */
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
    void whyATaskExitedDecidesWhenItStartsAgain(String expected) {
        cluster.leadWithRunningTasks();
        int before = cluster.environment.sent(COMMIT).size() + 1; // and the record of the tasks' ends
        String reason = expected.substring(0, expected.indexOf(':'));
        String pause = expected.substring(expected.indexOf(' ') + 1);
        cluster.heartbeat("heartbeat, exited: " + reason);
        long waited = 200;
        while (waited < 5000 && claims(before) == 0) {
            cluster.environment.play(100);
            waited += 100;
        }
        if (pause.equals("never")) {
            assertEquals(0, claims(before), reason);
        } else {
            String[] bounds = pause.split("\\.\\.");
            assertTrue(claims(before) > 0, reason + ": not started again");
            assertTrue(waited >= Long.parseLong(bounds[0]) && waited <= Long.parseLong(bounds[1]), expected + waited);
        }
    }

    /** Records of starts of either task after so many transactions. */
    private long claims(int from) {
        return cluster.environment.sent(COMMIT).stream()
                .skip(from - 1)
                .filter(sent -> GoldenMessages.json(sent.body()).contains("[0,\"job-000412\","))
                .count();
    }

    @Test
    void aGangStopsWithTimeToSaveIfTheFirstOfItsTasksWasKept() {
        cluster.leadWithClaimedTasks("gang submission").heartbeat("gang heartbeat, running");
        assertToWorker("gang kill with time to save", cluster.heartbeat("gang heartbeat, one saved"));
    }

    @Test
    void aGangStopsAtOnceIfTheFirstOfItsTasksWasNotKept() {
        cluster.leadWithClaimedTasks("gang submission").heartbeat("gang heartbeat, running");
        assertToWorker("gang kill at once", cluster.heartbeat("gang heartbeat, one lost its work"));
    }

    @ParameterizedTest
    @CsvSource({
        "halted, \"stopped_and_saved\":1",
        "incomplete, \"incomplete\":1",
        "peers, \"lost_a_task\":1",
        "error, \"failed\":1"
    })
    void whyAGangEndedIsCountedForOperators(String reason, String counted) {
        cluster.leadWithClaimedTasks("gang submission").heartbeat("gang heartbeat, running");
        cluster.heartbeat("gang heartbeat, exited: " + reason);
        String view = cluster.view("leader");
        assertTrue(view.contains(counted), view);
    }

    @Test
    void aHeartbeatToAFollowerIsRedirectedToTheLeader() {
        assertToWorker("redirect to the leader", cluster.follow().heartbeat("heartbeat"));
    }

    @Test
    void aHeartbeatIsRefusedWhileNoLeaderIsKnown() {
        cluster.stateAnswers("GET /kv?starts=a/&most=500", "unavailable");
        assertToWorker("no leader known", cluster.lead().heartbeat("heartbeat"));
    }

    @Test
    void aHigherTokenInAHeartbeatEndsTheTermAndIsNotAnswered() {
        cluster.lead().heartbeat("heartbeat");
        assertToWorker("not entitled", cluster.heartbeat("heartbeat with a higher token"));
    }

    @Test
    void aLateCopyOfAHeartbeatIsNotAnswered() {
        cluster.lead().heartbeat("next heartbeat");
        assertToWorker("not entitled", cluster.heartbeat("heartbeat"));
    }

    @Test
    void aSessionThatWorkWasNotSentToGetsNothingOfIt() {
        cluster.leadWithClaimedTasks("submission");
        assertToWorker("token without commands", cluster.heartbeat("heartbeat of the next session"));
    }

    @Test
    void theTokenIsAnnouncedToAListedMachineAndOnceMoreToItsLaterSession() {
        cluster.cloudAnswers("GET /hosts?most=500", "list, first page");
        cluster.cloudAnswers("GET /hosts?most=500&from=host-000231", "list, empty");
        cluster.workersAnswer(COMMANDS, "answer to announcement, another session", "answer to announcement");
        cluster.lead();
        assertSent(WORKERS, "token announcement", WORKER, cluster.environment.awaitSent(COMMANDS, 1, 3000));
        assertSent(
                WORKERS,
                "token announcement to a later session",
                WORKER,
                cluster.environment.awaitSent(COMMANDS, 2, 3000));
    }

    @Test
    void aWorkerThatHasNotSeenTheTokenIsToldItDirectly() {
        cluster.lead().heartbeat("heartbeat before any token");
        assertSent(WORKERS, "token announcement", WORKER, cluster.lastSent(COMMANDS));
    }

    @Test
    void aControllerThatWatchesItsLinksInspectsWorkersWhenManyFallSilent() {
        cluster.workersAnswer("GET /inspect", "answer to inspection");
        cluster.leadWatchingLinks().heartbeat("heartbeat");
        cluster.heartbeat("heartbeat of another worker");
        assertSent(WORKERS, "inspection", WORKER, cluster.environment.awaitSent("GET /inspect", 1, 20_000));
    }
}
