package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import stileferry.protocol.Features;
import stileferry.protocol.PeerMessage;

/** Checks that the next leader reads the records that 7564325 and f7fe539 stored, and continues from them. */
class GoldenStorageCompatibilityTest {
    private static FakeKeyValueStore storeAfter(String file, int transactions) {
        return new FakeKeyValueStore().afterTransactions(GoldenFile.lines(file), transactions);
    }

    private static String jobStatus(ControllerFixture fixture, String id) {
        ControllerFixture.Response response = fixture.userRequest(PeerMessage.RequestKind.STATUS, id, "");
        return response.status() + " " + response.body();
    }

    private static String commitText(ControllerFixture fixture, int number) {
        return fixture.store.commits.get(number).toString();
    }

    @ParameterizedTest
    @CsvSource({"f7fe539-array.json,2,2-0", "7564325-array.json,2,2-0", "stored-array.json,4097,35t-0"})
    void jobArrayContinuesWithItsDoneTasksAssignmentsAndHigherAttempts(String file, long firstToken, String stamp) {
        ControllerFixture fixture = ControllerFixture.startLeader(storeAfter(file, 4));
        assertEquals(
                """
                {"if":[{"path":"a/lead","entry_rev":0},{"path":"a/term","entry_rev":1}],\
                "apply":[{"put":"a/lead","v":{"node":"n0","term":%s,"lease":"7"},"mooring":7},\
                {"put":"a/term","v":{"term":%s}}]}"""
                        .formatted(firstToken + 4095, firstToken + 4095),
                commitText(fixture, 0));
        assertEquals(
                "200 {\"name_id\":\"job-101\",\"tide\":\"pending\",\"done\":1,\"running\":0}",
                jobStatus(fixture, "job-101"));
        FakeWorker worker = new FakeWorker("host-000231", "10.1.0.1:9000", "za");
        worker.startTask("job-101/2", 4294967300L);
        fixture.sendHeartbeat(worker);
        fixture.advance(1500);
        assertEquals(
                "200 {\"name_id\":\"job-101\",\"tide\":\"running\",\"done\":1,\"running\":2}",
                jobStatus(fixture, "job-101"));
        assertEquals(
                """
                {"if":[{"path":"a/lead","entry_rev":5},{"path":"l/3","entry_rev":0}],\
                "apply":[{"put":"l/3","v":{"n":3,"e":[[0,"job-101",1,%s,"host-000231",1]],"x":"%s"}}]}"""
                        .formatted((firstToken << 32) + 1, stamp),
                commitText(fixture, 1));
        assertEquals(
                2,
                worker.nextHeartbeat().path("passengers").size(),
                "the task with a stored assignment must keep running");
    }

    @ParameterizedTest
    @CsvSource({
        "f7fe539-array.json,101,done,3",
        "7564325-array.json,101,done,3",
        "stored-array.json,101,done,3",
        "f7fe539-service.json,102,cancelled,0",
        "7564325-service.json,102,cancelled,0",
        "stored-service.json,102,cancelled,0",
        "7564325-gang.json,103,done,2",
        "stored-gang.json,103,done,2"
    })
    void endedJobsAreReadFromTheirEndRecords(String file, String number, String outcome, int done) {
        List<String> transactions = GoldenFile.lines(file);
        ControllerFixture fixture = ControllerFixture.startLeader(
                new FakeKeyValueStore().afterTransactions(transactions, transactions.size()));
        assertEquals(
                "200 {\"name_id\":\"job-" + number + "\",\"tide\":\"" + outcome + "\",\"done\":" + done
                        + ",\"running\":0}",
                jobStatus(fixture, "job-" + number));
        assertEquals(1, fixture.store.commits.size(), "only the election may be written");
    }

    @Test
    void gangWithOneTaskStoredAsDoneIsCompleted() {
        ControllerFixture fixture = ControllerFixture.startLeader(storeAfter("f7fe539-gang.json", 4));
        assertEquals(
                """
                {"if":[{"path":"a/lead","entry_rev":5},{"path":"j/job-103","entry_rev":2},\
                {"path":"e/job-103","entry_rev":0}],"apply":[{"delete":"j/job-103"},\
                {"put":"e/job-103","v":{"how":"done","done":2,"x":"2-0"}}]}""",
                commitText(fixture, 1));
    }

    @ParameterizedTest
    @CsvSource({"f7fe539-service.json,2-0", "7564325-service.json,2-0", "stored-service.json,35t-0"})
    void cancelledServiceIsStoppedAndItsAssignmentIsRestored(String file, String stamp) {
        ControllerFixture fixture = ControllerFixture.startLeader(storeAfter(file, 4));
        FakeWorker worker = new FakeWorker("host-000231", "10.1.0.1:9000", "za");
        worker.startTask("job-102/0", 4294967298L);
        fixture.sendHeartbeat(worker);
        assertEquals(
                "exited",
                worker.nextHeartbeat().path("passengers").path(0).path("tide").asText());
        fixture.sendHeartbeat(worker);
        assertEquals("{\"how\":\"cancelled\",\"done\":0,\"x\":\"" + stamp + "\"}", fixture.store.value("e/job-102"));
    }

    @ParameterizedTest
    @CsvSource({"f7fe539-service.json", "7564325-service.json", "stored-service.json"})
    void cancelledServiceIsStoppedBeforeItsAssignmentsAreRead(String file) {
        FakeKeyValueStore store = storeAfter(file, 4);
        store.unansweredScanPrefix = "l/";
        ControllerFixture fixture = ControllerFixture.startLeader(store);
        FakeWorker worker = new FakeWorker("host-000231", "10.1.0.1:9000", "za");
        worker.startTask("job-102/0", 4294967298L);
        assertEquals(200, fixture.sendHeartbeat(worker));
        assertEquals(
                "exited",
                worker.nextHeartbeat().path("passengers").path(0).path("tide").asText());
    }

    @ParameterizedTest
    @CsvSource({
        "f7fe539-silence.json,4,true",
        "f7fe539-silence.json,5,false",
        "7564325-silence.json,4,true",
        "7564325-silence.json,5,false",
        "stored-silence.json,4,true",
        "stored-silence.json,5,false"
    })
    void machineLeaseCountsFromTheRecordedLastHeartbeatUnlessHeardAgain(
            String file, int transactions, boolean recordApplies) {
        ControllerFixture fixture = new ControllerFixture(storeAfter(file, transactions), Features.NONE, 8);
        fixture.advance(8000);
        fixture.start();
        fixture.advance(4000);
        String settledEvent = "[1,\"job-102\",0,4294967298]";
        assertEquals(recordApplies, fixture.store.commits.toString().contains(settledEvent));
        fixture.advance(10_000);
        assertTrue(fixture.store.commits.toString().contains(settledEvent), "the lease has expired in any case");
    }

    /**
     * Covers the form before f7fe539, which f77aa8e replaced: one record for each chunk of a job's tasks, with a bitmap
     * of the tasks that are done and the assignments of the others.
     */
    @Test
    void legacyTaskChunksAreCopiedIntoTheRingAndDeleted() {
        ControllerFixture fixture = ControllerFixture.startLeader(new FakeKeyValueStore()
                .withValue("a/term", "{\"term\":1}")
                .withValue(
                        "j/job-104",
                        """
                        {"order":4294967297,"at":1700000000000,"cancelled":false,"chunk":8,"spec":{"name_id":"job-104",
                        "berth":"train","crew":"red","craft":"array","precedence":"urgent","passengers":10,"cores":2.0,
                        "gpus":0.0,"ram_gb":4.0,"cargo":"img-07","pull_gb":6.2,"harbor":null,"same_place":false,
                        "apart":false,"tender":true,"crossing_s":240.0,"waypoint_s":30.0,"stow_s":4.0},"x":"1-0"}""")
                .withValue(
                        "c/job-104/0", "{\"done\":\"85\",\"claims\":[[1,4294967299,\"host-000231\",1]],\"x\":\"1-1\"}")
                .withValue(
                        "c/job-104/1",
                        "{\"done\":\"02\",\"claims\":[[8,4294967300,\"host-000231\",1]],\"x\":\"1-2\"}"));
        assertEquals(
                "200 {\"name_id\":\"job-104\",\"tide\":\"pending\",\"done\":4,\"running\":0}",
                jobStatus(fixture, "job-104"));
        assertEquals(
                """
                {"if":[{"path":"a/lead","entry_rev":5},{"path":"l/1","entry_rev":0},\
                {"path":"c/job-104/0","entry_rev":3},{"path":"c/job-104/1","entry_rev":4}],\
                "apply":[{"put":"l/1","v":{"n":1,"e":[[2,"job-104",0,0],[2,"job-104",2,2],[2,"job-104",7,7],\
                [0,"job-104",1,4294967299,"host-000231",1],[2,"job-104",9,9],\
                [0,"job-104",8,4294967300,"host-000231",1]],"x":"2-0"}},\
                {"delete":"c/job-104/0"},{"delete":"c/job-104/1"}]}""",
                commitText(fixture, 1));
        fixture.userRequest(PeerMessage.RequestKind.CANCEL, "job-104", "");
        String cancelledRecord = fixture.store.value("j/job-104");
        assertTrue(
                cancelledRecord.startsWith(
                        "{\"order\":4294967297,\"at\":1700000000000,\"cancelled\":true,\"chunk\":8,\"spec\":{"),
                cancelledRecord);
    }

    /**
     * A record of a machine's last heartbeat applies only if it is of the previous term and of the incarnation that the
     * task was assigned to. Then the machine's lease counts from the time in the record.
     */
    @ParameterizedTest
    @CsvSource({"1,1700000005000,1,true", "0,1700000005000,1,false", "1,1700000005000,0,false"})
    void lastHeartbeatRecordAppliesOnlyToItsIncarnationAndTheNextTerm(
            long incarnation, long answeredAt, long term, boolean recordApplies) {
        FakeKeyValueStore store = storeAfter("7564325-silence.json", 3)
                .withValue(
                        "l/2",
                        "{\"n\":2,\"e\":[[3,\"host-000231\"," + incarnation + "," + answeredAt + "," + term
                                + "]],\"x\":\"1-2\"}");
        ControllerFixture fixture = new ControllerFixture(store, Features.NONE, 8);
        fixture.advance(8000);
        fixture.start();
        fixture.advance(4000);
        String settledEvent = "[1,\"job-102\",0,4294967298]";
        assertFalse(fixture.store.commits.toString().contains(settledEvent), "13 s: the lease may last until 15 s");
        fixture.advance(4000);
        assertEquals(recordApplies, fixture.store.commits.toString().contains(settledEvent), "17 s");
    }

    @Test
    void storedOperatorSettingsApplyToTheNextLeader() {
        ControllerFixture fixture = ControllerFixture.startLeader(storeAfter("7564325-options.json", 2));
        String settings = fixture.operatorRequest("GET", "settings", "").body().toString();
        assertTrue(settings.startsWith("{\"revision\":1,"), settings);
        fixture.operatorRequest("POST", "settings", "{\"revision\":1,\"change\":{\"idle_boots\":4}}");
        assertEquals(
                """
                {"if":[{"path":"a/lead","entry_rev":3},{"path":"a/options","entry_rev":2}],\
                "apply":[{"put":"a/options","v":{"revision":2,"values":{"begin_within_s":100,"empty_share":0.3,\
                "head_protection_s":300,"idle_boots":4,"log_level":"debug","pass_interval_s":2,"preemption":false,\
                "spare_share":0.2,"spot_share":0.5},"x":"2-0"}}]}""",
                commitText(fixture, 1));
    }

    @Test
    void acceptedJobWithAnUnreadableRecordStaysKnown() {
        ControllerFixture fixture = ControllerFixture.startLeader(
                new FakeKeyValueStore().withValue("a/term", "{\"term\":1}").withValue("j/job-105", "{\"spec\":{}}"));
        assertEquals(
                "200 {\"name_id\":\"job-105\",\"tide\":\"pending\",\"done\":0,\"running\":0}",
                jobStatus(fixture, "job-105"));
    }
}
