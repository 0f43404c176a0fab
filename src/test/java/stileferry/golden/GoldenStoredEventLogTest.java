package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stileferry.protocol.Features;
import stileferry.protocol.PeerMessage;

/**
 * Pins the stored form of the event log: its ring of 1,024 records, the events that are retained when a record is
 * overwritten, and overflow records outside the ring.
 */
class GoldenStoredEventLogTest {
    private static final String JOB_TEMPLATE =
            """
            {"order":4294967297,"at":1700000000000,"cancelled":false,"spec":{"name_id":"job-104",
            "berth":"train","crew":"red","craft":"array","precedence":"urgent","passengers":%d,"cores":0.1,
            "gpus":0.0,"ram_gb":0.1,"cargo":"img-07","pull_gb":6.2,"harbor":null,"same_place":false,
            "apart":false,"tender":true,"crossing_s":240.0,"waypoint_s":30.0,"stow_s":4.0},"x":"1-0"}""";

    private static FakeKeyValueStore storeWithJob(int tasks) {
        return new FakeKeyValueStore()
                .withValue("a/term", "{\"term\":1}")
                .withValue("j/job-104", JOB_TEMPLATE.formatted(tasks));
    }

    @Test
    void overwritingTheOldestRecordRetainsItsLiveEvents() {
        FakeKeyValueStore store = storeWithJob(4)
                .withValue(
                        "l/1",
                        """
                {"n":1,"e":[[2,"job-104",0,0],[0,"job-104",3,4294967298,"host-000231",1],[1,"job-104",2,4294967290],\
                [2,"job-999",0,0]],"x":"1-1"}""")
                .withValue("l/2", "{\"n\":2,\"e\":[[2,\"job-104\",1,1]],\"x\":\"1-2\"}")
                .withValue("l/0", "{\"n\":1024,\"e\":[],\"x\":\"1-3\"}");
        ControllerFixture fixture = ControllerFixture.startLeader(store);
        FakeWorker worker = new FakeWorker("host-000231", "10.1.0.1:9000", "za");
        worker.startTask("job-104/3", 4294967298L);
        fixture.sendHeartbeat(worker);
        fixture.sendHeartbeat(worker);
        fixture.advance(1500);
        assertEquals(
                """
                {"if":[{"path":"a/lead","entry_rev":6},{"path":"l/1","entry_rev":3}],\
                "apply":[{"put":"l/1","v":{"n":1025,"e":[[2,"job-104",0,1],\
                [0,"job-104",3,4294967298,"host-000231",1],\
                [0,"job-104",2,8589934593,"host-000231",1]],"x":"2-0"}}]}""",
                fixture.store.commits.get(1).toString());
    }

    @Test
    void recordLargerThanTheValueLimitIsCopiedToAnOverflowRecord() {
        StringBuilder assignmentEvents = new StringBuilder();
        for (int task = 0; task < 30; task++) {
            assignmentEvents
                    .append(task == 0 ? "" : ",")
                    .append("[0,\"job-104\",")
                    .append(task);
            assignmentEvents.append(",").append(4294967298L + task).append(",\"host-000231\",1]");
        }
        FakeKeyValueStore store = storeWithJob(31)
                .withValue("l/1", "{\"n\":1,\"e\":[" + assignmentEvents + "],\"x\":\"1-1\"}")
                .withValue("l/0", "{\"n\":1024,\"e\":[],\"x\":\"1-2\"}");
        ControllerFixture fixture = new ControllerFixture(store, Features.NONE, 2).start();
        fixture.sendHeartbeat(new FakeWorker("host-000232", "10.1.0.2:9000", "za"));
        fixture.advance(1500);
        String overflowCommit = fixture.store.commits.get(1).toString();
        assertTrue(
                overflowCommit.startsWith(
                        """
                        {"if":[{"path":"a/lead","entry_rev":5},{"path":"l/x2-0","entry_rev":0},\
                        {"path":"l/1","entry_rev":3}],"apply":[{"put":"l/x2-0","v":{"n":1024,"e":[\
                        [0,"job-104",0,4294967298,"host-000231",1],"""),
                overflowCommit);
    }

    @Test
    void transactionWithoutAResponseIsRecognisedByItsStamp() {
        ControllerFixture fixture = ControllerFixture.startLeader(new FakeKeyValueStore());
        fixture.store.responsesToLose = 1;
        ControllerFixture.Response response = fixture.operatorRequest(
                "POST", "settings", """
                {"revision":0,"change":{"idle_boots":3}}""");
        assertEquals(200, response.status());
        assertTrue(fixture.store.requests.contains("GET /kv/a/options"));
        assertEquals(3, fixture.store.commits.size());
        assertEquals(fixture.store.commits.get(1), fixture.store.commits.get(2));
        assertEquals("{\"revision\":1,\"values\":{\"idle_boots\":3},\"x\":\"1-0\"}", fixture.store.value("a/options"));
        assertTrue(fixture.coordinator.leads());
        assertEquals(200, fixture.operatorRequest("GET", "settings", "").status());
        assertTrue(
                fixture.operatorRequest("GET", "settings", "").body().toString().startsWith("{\"revision\":1,"));
    }

    @Test
    void recordsAreReplayedInTheOrderOfTheirNumbers() {
        FakeKeyValueStore store = storeWithJob(1)
                .withValue("l/1", "{\"n\":1025,\"e\":[[1,\"job-104\",0,4294967298]],\"x\":\"1-2\"}")
                .withValue("l/9", "{\"n\":1024,\"e\":[[0,\"job-104\",0,4294967298,\"host-000231\",1]],\"x\":\"1-1\"}");
        ControllerFixture fixture = ControllerFixture.startLeader(store);
        FakeWorker worker = new FakeWorker("host-000231", "10.1.0.1:9000", "za");
        worker.startTask("job-104/0", 4294967298L);
        fixture.sendHeartbeat(worker);
        assertEquals(
                0,
                fixture.userRequest(PeerMessage.RequestKind.STATUS, "job-104", "")
                        .body()
                        .path("running")
                        .asInt());
        assertEquals(
                "exited",
                worker.nextHeartbeat().path("passengers").path(0).path("tide").asText());
    }

    @Test
    void overflowRecordIsCopiedIntoTheRingAndDeleted() {
        FakeKeyValueStore store = storeWithJob(1)
                .withValue("l/0", "{\"n\":1024,\"e\":[],\"x\":\"1-1\"}")
                .withValue(
                        "l/x1-0", "{\"n\":1024,\"e\":[[0,\"job-104\",0,4294967298,\"host-000231\",1]],\"x\":\"1-2\"}");
        ControllerFixture fixture = ControllerFixture.startLeader(store);
        assertEquals(
                """
                {"if":[{"path":"a/lead","entry_rev":5},{"path":"l/1","entry_rev":0},{"path":"l/x1-0","entry_rev":4}],\
                "apply":[{"put":"l/1","v":{"n":1025,"e":[[0,"job-104",0,4294967298,"host-000231",1]],"x":"2-0"}},\
                {"delete":"l/x1-0"}]}""",
                fixture.store.commits.get(1).toString());
    }
}
