package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.golden.ScriptedCluster.STORE;
import static stileferry.golden.ScriptedCluster.USERS;
import static stileferry.golden.ScriptedCluster.assertUserResponse;
import static stileferry.golden.ScriptedCluster.assertWorkerResponse;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.golden.RecordingEnvironment.SentRequest;
import stileferry.golden.SimulatedController.PendingResponse;

/** Pins the exact bytes of the requests to the key-value store, and of the records that the controller keeps there. */
class GoldenKeyValueStoreTest {
    private static final String LEADER_SCAN = "GET /kv?starts=a/&most=500";
    private static final String COMMIT = "POST /commit";
    private static final String LEASE_RENEWAL = "POST /leases/7/touch";
    private static final String LEASE_END = "DELETE /leases/7";
    private static final String JOBS_SCAN = "GET /kv?starts=j/&most=500";

    /** The number of a leader's first transaction, which is its election; transactions are counted from 1. */
    private static final int ELECTION_COMMIT = 1;

    private final ScriptedCluster cluster = new ScriptedCluster();

    private void assertSent(String name, SentRequest sent) {
        ScriptedCluster.assertRequest(STORE, name, SimulatedController.STORE_ADDRESS, sent);
    }

    private SentRequest awaitCommit(int number) {
        return cluster.environment.awaitRequest(COMMIT, number, 3000);
    }

    private SentRequest awaitSent(String line) {
        return cluster.environment.awaitRequest(line, 1, 15_000);
    }

    @Test
    void electionIsALeasedCompareAndSwapOfLeaderKeyAndTerm() {
        cluster.startLeader();
        assertSent("leader prefix read", awaitSent(LEADER_SCAN));
        assertSent("lease request", awaitSent("POST /leases"));
        assertSent("election", awaitCommit(ELECTION_COMMIT));
    }

    @Test
    void electionWithAnEmptyStoreStartsTermOne() {
        cluster.storeResponds(LEADER_SCAN, "leader prefix, nothing stored");
        cluster.startLeader();
        assertSent("first election", awaitCommit(ELECTION_COMMIT));
    }

    @Test
    void leaderRenewsItsLease() {
        cluster.startLeader();
        assertSent("lease renewal", awaitSent(LEASE_RENEWAL));
    }

    @Test
    void leaderWithoutALeaseReadsTheLeaderKeyAgain() {
        cluster.storeResponds(LEASE_RENEWAL, "lease gone");
        cluster.startLeader();
        cluster.environment.advance(1000);
        assertTrue(cluster.environment.sentRequests(LEADER_SCAN).size() > 1);
        assertEquals(List.of(), cluster.environment.sentRequests(LEASE_END));
    }

    @Test
    void leaderReadsAllRecordsByPrefix() {
        cluster.startLeader();
        assertSent("jobs read", awaitSent(JOBS_SCAN));
        assertSent("event records read", awaitSent("GET /kv?starts=l/&most=500"));
        assertSent("old parts read", awaitSent("GET /kv?starts=c/&most=500"));
        assertSent("options read", awaitSent("GET /kv/a/options"));
    }

    @Test
    void prefixIsReadInPagesAndItsRecordsAreRestored() {
        cluster.storeResponds(JOBS_SCAN, "jobs, first page");
        cluster.storeResponds("GET /kv?starts=j/&from=j/job-000412&most=500", "jobs, last page");
        cluster.storeResponds("GET /kv?starts=l/&most=500", "event records");
        cluster.startLeader();
        assertSent("jobs read, next page", awaitSent("GET /kv?starts=j/&from=j/job-000412&most=500"));
        assertUserResponse("partly done", cluster.status());
        assertSent("takeover of a cancelled job", awaitCommit(ELECTION_COMMIT + 1));
    }

    @Test
    void followerWatchesTheLeaderPrefix() {
        cluster.storeResponds("GET /watch?starts=a/&from=430&block_ms=10000", "watch, nothing happened");
        cluster.startFollower();
        assertSent("watch", awaitSent("GET /watch?starts=a/&from=430&block_ms=10000"));
        assertSent("watch after nothing happened", awaitSent("GET /watch?starts=a/&from=433&block_ms=10000"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"watch, leader key deleted", "watch too old"})
    void followerReadsTheLeaderKeyAgainAfterAnEventOrAnExpiredWatch(String response) {
        cluster.storeResponds("GET /watch?starts=a/&from=430&block_ms=10000", response);
        cluster.startFollower();
        assertTrue(cluster.environment.sentRequests(LEADER_SCAN).size() > 1);
    }

    @Test
    void leaseOfAPreviousIncarnationIsEnded() {
        cluster.storeResponds(LEADER_SCAN, "leader prefix, own former life leads");
        cluster.startLeader();
        assertSent("former lease end", awaitSent("DELETE /leases/6"));
    }

    @Test
    void submissionIsLookedUpAmongEndedJobsAndCommittedWithAFencingComparison() {
        cluster.startLeader().submit("submission");
        assertSent("ended job read", awaitSent("GET /kv/e/job-000412"));
        assertSent("job record commit", awaitCommit(ELECTION_COMMIT + 1));
    }

    @Test
    void failedFencingComparisonEndsTheTermAndTheLease() {
        cluster.storeResponds(COMMIT, "committed", "compare failed");
        assertUserResponse("no leader", cluster.startLeader().submit("submission"));
        assertSent("lease end", awaitSent(LEASE_END));
    }

    @ParameterizedTest
    @CsvSource({"'job record, own stamp', true", "'job record, another stamp', false"})
    void commitWithUnknownOutcomeIsRepeatedAndRecognisedByItsStamp(String stored, boolean ownStamp) {
        cluster.startLeader();
        cluster.storeResponds(COMMIT, "unknown outcome", "compare failed", "committed");
        cluster.storeResponds("GET /kv/j/job-000412", stored);
        PendingResponse response = cluster.submit("submission");
        cluster.environment.advance(1000);
        assertSent("job record commit", awaitCommit(ELECTION_COMMIT + 1));
        assertSent("job record commit", awaitCommit(ELECTION_COMMIT + 2));
        assertSent("job record read", awaitSent("GET /kv/j/job-000412"));
        assertUserResponse(ownStamp ? "accepted" : "no leader", response);
        assertEquals(ownStamp, cluster.environment.sentRequests(LEASE_END).isEmpty());
    }

    @Test
    void assignmentsAreCommittedTogetherBeforeTheirTasksStart() {
        cluster.startLeaderWithAssignedTasks("submission");
        assertSent("claims commit", awaitCommit(ELECTION_COMMIT + 2));
        List<String> lines = cluster.environment.sentRequests().stream()
                .map(SentRequest::line)
                .toList();
        assertTrue(lines.lastIndexOf(COMMIT) < lines.indexOf("POST /commands"));
    }

    @Test
    void taskExitsAreCommittedAsEvents() {
        cluster.startLeaderWithRunningTasks().heartbeat("heartbeat, one done and one halted");
        assertSent("task ends commit", awaitCommit(ELECTION_COMMIT + 3));
    }

    @Test
    void completedJobBecomesAnEndRecordInOneTransaction() {
        cluster.startLeaderWithRunningTasks().heartbeat("heartbeat, both done");
        assertSent("job done commit", awaitCommit(ELECTION_COMMIT + 3));
        assertUserResponse("done", cluster.status());
    }

    @Test
    void cancellationOfAssignedTasksIsCommittedInTheJobRecord() {
        cluster.startLeaderWithRunningTasks().cancel();
        assertSent("cancellation commit", awaitCommit(ELECTION_COMMIT + 3));
    }

    @Test
    void cancelledJobWithoutAssignmentsBecomesAnEndRecord() {
        cluster.startLeader().submit("submission");
        assertUserResponse("cancelled", cluster.cancel());
        assertSent("cancelled job end commit", awaitCommit(ELECTION_COMMIT + 2));
    }

    @ParameterizedTest
    @CsvSource({"'ended job, done', done", "'ended job, cancelled', cancelled after one task"})
    void endedJobIsReadFromItsEndRecord(String stored, String response) {
        cluster.storeResponds("GET /kv/e/job-000412", stored);
        cluster.startLeader();
        assertUserResponse(response, cluster.status());
        assertUserResponse(response, cluster.submit("submission"));
        assertUserResponse(response, cluster.cancel());
        assertFalse(cluster.environment.sentRequests(COMMIT).size() > ELECTION_COMMIT);
    }

    @Test
    void missedHeartbeatsAndTheirEndAreCommittedAsEvents() {
        cluster.startLeaderWithRunningTasks();
        cluster.environment.advance(5000);
        assertSent("silence commit", cluster.lastRequest(COMMIT));
        assertWorkerResponse("token without commands", cluster.heartbeat("heartbeat, still running"));
        assertSent("silence end commit", cluster.lastRequest(COMMIT));
    }

    @Test
    void submissionsAreRejectedWithRetryAfterWhileCommitsAreBehind() {
        cluster.startLeader();
        assertUserResponse("overloaded", submitUntilRejected());
    }

    @Test
    void withFairAdmissionTheAcceptingTransactionCountsTheJob() {
        cluster.startLeaderWithFairAdmission().submit("submission");
        assertSent("counting election", awaitCommit(ELECTION_COMMIT));
        assertSent("count of admissions read", awaitSent("GET /kv?starts=n/&most=500"));
        assertSent("counted job record commit", awaitCommit(ELECTION_COMMIT + 1));
    }

    @Test
    void withFairAdmissionCriticalSubmissionsPassWhileOthersAreRejected() {
        cluster.startLeaderWithFairAdmission();
        assertUserResponse("overloaded, by turn", submitUntilRejected());
        assertFalse(cluster.submitWithoutWaiting(submissionWithId("service submission", 999))
                .isComplete());
    }

    /** Returns the bytes of a literal submission with its job id replaced by another one of the same length. */
    private static byte[] submissionWithId(String submission, int number) {
        String id = GoldenMessages.toHex("job-000412");
        String otherId = GoldenMessages.toHex("job-%06d".formatted(number));
        return GoldenMessages.fromHex(USERS.get(submission).hex().replace(id, otherId));
    }

    /** Submits up to 400 jobs without letting time pass, until one gets an immediate response: a rejection. */
    private PendingResponse submitUntilRejected() {
        for (int i = 0; i < 400; i++) {
            PendingResponse response = cluster.submitWithoutWaiting(submissionWithId("submission", 500 + i));
            if (response.isComplete()) {
                return response;
            }
        }
        throw new AssertionError("no submission was rejected");
    }
}
