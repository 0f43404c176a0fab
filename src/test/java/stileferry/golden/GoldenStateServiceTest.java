package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.golden.ScriptedCluster.STATE;
import static stileferry.golden.ScriptedCluster.USERS;
import static stileferry.golden.ScriptedCluster.assertToUser;
import static stileferry.golden.ScriptedCluster.assertToWorker;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.golden.RecordingEnvironment.Sent;
import stileferry.golden.SimulatedController.Heard;

/** What the controller asks of the state service, and the records that it keeps there, as the exact bytes. */
class GoldenStateServiceTest {
    private static final String LEADER_PREFIX = "GET /kv?starts=a/&most=500";
    private static final String COMMIT = "POST /commit";
    private static final String RENEWAL = "POST /leases/7/touch";
    private static final String RESIGNATION = "DELETE /leases/7";
    private static final String JOBS = "GET /kv?starts=j/&most=500";

    /** The election is the first transaction of every leader. */
    private static final int ELECTION = 1;

    private final ScriptedCluster cluster = new ScriptedCluster();

    private void assertSent(String name, Sent sent) {
        ScriptedCluster.assertSent(STATE, name, SimulatedController.STATE, sent);
    }

    private Sent commit(int number) {
        return cluster.environment.awaitSent(COMMIT, number, 3000);
    }

    private Sent awaitSent(String line) {
        return cluster.environment.awaitSent(line, 1, 15_000);
    }

    @Test
    void anElectionIsALeasedCompareAndSwapOfLeaderAndTerm() {
        cluster.lead();
        assertSent("leader prefix read", awaitSent(LEADER_PREFIX));
        assertSent("lease request", awaitSent("POST /leases"));
        assertSent("election", commit(ELECTION));
    }

    @Test
    void theFirstElectionOfAllBeginsWithTermOne() {
        cluster.stateAnswers(LEADER_PREFIX, "leader prefix, nothing stored");
        cluster.lead();
        assertSent("first election", commit(ELECTION));
    }

    @Test
    void theLeaderRenewsItsLease() {
        cluster.lead();
        assertSent("lease renewal", awaitSent(RENEWAL));
    }

    @Test
    void aLeaderWhoseLeaseIsGoneLooksWhoLeads() {
        cluster.stateAnswers(RENEWAL, "lease gone");
        cluster.lead();
        cluster.environment.play(1000);
        assertTrue(cluster.environment.sent(LEADER_PREFIX).size() > 1);
        assertEquals(List.of(), cluster.environment.sent(RESIGNATION));
    }

    @Test
    void theLeaderReadsAllRecordsByPrefix() {
        cluster.lead();
        assertSent("jobs read", awaitSent(JOBS));
        assertSent("event records read", awaitSent("GET /kv?starts=l/&most=500"));
        assertSent("old parts read", awaitSent("GET /kv?starts=c/&most=500"));
        assertSent("options read", awaitSent("GET /kv/a/options"));
    }

    @Test
    void aPrefixIsReadInPagesAndItsRecordsAreTakenOver() {
        cluster.stateAnswers(JOBS, "jobs, first page");
        cluster.stateAnswers("GET /kv?starts=j/&from=j/job-000412&most=500", "jobs, last page");
        cluster.stateAnswers("GET /kv?starts=l/&most=500", "event records");
        cluster.lead();
        assertSent("jobs read, next page", awaitSent("GET /kv?starts=j/&from=j/job-000412&most=500"));
        assertToUser("partly done", cluster.status());
        assertSent("takeover of a cancelled job", commit(ELECTION + 1));
    }

    @Test
    void aFollowerWatchesTheLeaderPrefix() {
        cluster.stateAnswers("GET /watch?starts=a/&from=430&block_ms=10000", "watch, nothing happened");
        cluster.follow();
        assertSent("watch", awaitSent("GET /watch?starts=a/&from=430&block_ms=10000"));
        assertSent("watch after nothing happened", awaitSent("GET /watch?starts=a/&from=433&block_ms=10000"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"watch, leader key deleted", "watch too old"})
    void aFollowerLooksAgainAfterAnEventAndWhenItsWatchIsTooOld(String answer) {
        cluster.stateAnswers("GET /watch?starts=a/&from=430&block_ms=10000", answer);
        cluster.follow();
        assertTrue(cluster.environment.sent(LEADER_PREFIX).size() > 1);
    }

    @Test
    void aLeaseLeftByAFormerLifeOfTheControllerIsEnded() {
        cluster.stateAnswers(LEADER_PREFIX, "leader prefix, own former life leads");
        cluster.lead();
        assertSent("former lease end", awaitSent("DELETE /leases/6"));
    }

    @Test
    void aSubmissionIsLookedUpAmongEndedJobsAndCommittedUnderTheFence() {
        cluster.lead().submit("submission");
        assertSent("ended job read", awaitSent("GET /kv/e/job-000412"));
        assertSent("job record commit", commit(ELECTION + 1));
    }

    @Test
    void aCommitWhoseFenceFailsEndsTheTermByEndingTheLease() {
        cluster.stateAnswers(COMMIT, "committed", "compare failed");
        assertToUser("no leader", cluster.lead().submit("submission"));
        assertSent("lease end", awaitSent(RESIGNATION));
    }

    @ParameterizedTest
    @CsvSource({"'job record, own stamp', true", "'job record, another stamp', false"})
    void anUnansweredCommitIsRepeatedAndRecognisedByItsStamp(String stored, boolean own) {
        cluster.lead();
        cluster.stateAnswers(COMMIT, "unknown outcome", "compare failed", "committed");
        cluster.stateAnswers("GET /kv/j/job-000412", stored);
        Heard heard = cluster.submit("submission");
        cluster.environment.play(1000);
        assertSent("job record commit", commit(ELECTION + 1));
        assertSent("job record commit", commit(ELECTION + 2));
        assertSent("job record read", awaitSent("GET /kv/j/job-000412"));
        assertToUser(own ? "accepted" : "no leader", heard);
        assertEquals(own, cluster.environment.sent(RESIGNATION).isEmpty());
    }

    @Test
    void claimsAreCommittedTogetherBeforeTheirTasksStart() {
        cluster.leadWithClaimedTasks("submission");
        assertSent("claims commit", commit(ELECTION + 2));
        List<String> lines = cluster.environment.sent().stream().map(Sent::line).toList();
        assertTrue(lines.lastIndexOf(COMMIT) < lines.indexOf("POST /commands"));
    }

    @Test
    void endsOfTasksAreCommittedAsEvents() {
        cluster.leadWithRunningTasks().heartbeat("heartbeat, one done and one halted");
        assertSent("task ends commit", commit(ELECTION + 3));
    }

    @Test
    void aDoneJobMovesAmongTheEndedOnesInOneTransaction() {
        cluster.leadWithRunningTasks().heartbeat("heartbeat, both done");
        assertSent("job done commit", commit(ELECTION + 3));
        assertToUser("done", cluster.status());
    }

    @Test
    void aCancellationOfClaimedTasksIsCommittedInTheJobsRecord() {
        cluster.leadWithRunningTasks().withdraw();
        assertSent("cancellation commit", commit(ELECTION + 3));
    }

    @Test
    void aCancelledJobWithoutClaimsMovesAmongTheEndedOnes() {
        cluster.lead().submit("submission");
        assertToUser("cancelled", cluster.withdraw());
        assertSent("cancelled job end commit", commit(ELECTION + 2));
    }

    @ParameterizedTest
    @CsvSource({"'ended job, done', done", "'ended job, cancelled', cancelled after one task"})
    void anEndedJobIsReadFromItsRecord(String stored, String answer) {
        cluster.stateAnswers("GET /kv/e/job-000412", stored);
        cluster.lead();
        assertToUser(answer, cluster.status());
        assertToUser(answer, cluster.submit("submission"));
        assertToUser(answer, cluster.withdraw());
        assertFalse(cluster.environment.sent(COMMIT).size() > ELECTION);
    }

    @Test
    void aMachinesSilenceAndItsEndAreCommittedAsEvents() {
        cluster.leadWithRunningTasks();
        cluster.environment.play(5000);
        assertSent("silence commit", cluster.lastSent(COMMIT));
        assertToWorker("token without commands", cluster.heartbeat("heartbeat, still running"));
        assertSent("silence end commit", cluster.lastSent(COMMIT));
    }

    @Test
    void submissionsAreRefusedWithRetryAfterWhileTheStateServiceIsBehind() {
        cluster.lead();
        assertToUser("overloaded", submitUntilRefused());
    }

    @Test
    void withFairAdmissionAcceptedJobsAreCountedInTheTransactionThatAcceptsThem() {
        cluster.leadAdmittingFairly().submit("submission");
        assertSent("counting election", commit(ELECTION));
        assertSent("count of admissions read", awaitSent("GET /kv?starts=n/&most=500"));
        assertSent("counted job record commit", commit(ELECTION + 1));
    }

    @Test
    void withFairAdmissionCriticalSubmissionsAreTakenWhileOthersAreRefused() {
        cluster.leadAdmittingFairly();
        assertToUser("overloaded, by turn", submitUntilRefused());
        assertFalse(cluster.submitAtOnce(another("service submission", 999)).answered());
    }

    /** A literal submission under another id of the same length. */
    private static byte[] another(String submission, int number) {
        String id = GoldenMessages.hex("job-000412");
        String other = GoldenMessages.hex("job-%06d".formatted(number));
        return GoldenMessages.bytes(USERS.get(submission).hex().replace(id, other));
    }

    /** Submits job after job at the same moment until one is answered at once. */
    private Heard submitUntilRefused() {
        for (int i = 0; i < 400; i++) {
            Heard heard = cluster.submitAtOnce(another("submission", 500 + i));
            if (heard.answered()) {
                return heard;
            }
        }
        throw new AssertionError("none was refused");
    }
}
