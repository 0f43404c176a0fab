package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import stileferry.protocol.PeerMessage;

/** Pins the transactions of a leader with all optional features off: keys, fields, their order, and bytes. */
class GoldenStoredRecordsTest {
    private static final String ARRAY_JOB =
            """
            {"name_id":"job-101","berth":"train","crew":"red","craft":"array","precedence":"urgent","passengers":3,
            "cores":2.0,"gpus":0.0,"ram_gb":4.0,"cargo":"img-07","pull_gb":6.2,"hulls":["box"],"harbor":"za",
            "same_place":true,"apart":false,"tender":true,"crossing_s":240.0,"waypoint_s":30.0,"stow_s":4.0,
            "moor_by_s":900.0}""";

    private static final String SERVICE_JOB =
            """
            {"name_id":"job-102","berth":"web","crew":"blue","craft":"standing","precedence":"critical","passengers":1,
            "cores":1.5,"gpus":0.0,"ram_gb":0.5,"cargo":"img-08","pull_gb":1.0,"hulls":null,"harbor":null,
            "same_place":false,"apart":true,"tender":false,"crossing_s":0.0,"waypoint_s":0.0,"stow_s":0.0,
            "moor_by_s":null}""";

    private static final String GANG_JOB =
            """
            {"name_id":"job-103","berth":"sim","crew":"blue","craft":"group","precedence":"idle","passengers":2,
            "cores":1.0,"gpus":0.0,"ram_gb":1.0,"cargo":"img-09","pull_gb":1.0,"same_place":true,"apart":false,
            "tender":false,"crossing_s":60.0,"waypoint_s":5.0,"stow_s":2.0}""";

    private static List<JsonNode> commits(ControllerFixture fixture) {
        return fixture.store.commits;
    }

    private static ControllerFixture runArrayToCompletion() {
        ControllerFixture fixture = ControllerFixture.startLeader(new FakeKeyValueStore());
        FakeWorker worker = new FakeWorker("host-000231", "10.1.0.1:9000", "za");
        fixture.sendHeartbeat(worker);
        fixture.userRequest(PeerMessage.RequestKind.SUBMIT, "job-101", ARRAY_JOB);
        fixture.sendHeartbeat(worker);
        fixture.sendHeartbeat(worker);
        worker.endTask("job-101/0", "done");
        worker.endTask("job-101/1", "error");
        fixture.sendHeartbeat(worker);
        fixture.sendHeartbeat(worker);
        FakeWorker other = new FakeWorker("host-000232", "10.1.0.2:9000", "za");
        fixture.sendHeartbeat(other);
        fixture.advance(1500);
        fixture.sendHeartbeat(other);
        other.endTask("job-101/1", "done");
        fixture.sendHeartbeat(other);
        worker.endTask("job-101/2", "done");
        fixture.sendHeartbeat(worker);
        return fixture;
    }

    @Test
    void jobArrayFromElectionToCompletionAsText() {
        ControllerFixture fixture = runArrayToCompletion();
        GoldenFile.assertText("stored-array.json", commits(fixture));
        assertEquals("{\"how\":\"done\",\"done\":3,\"x\":\"1-5\"}", fixture.store.value("e/job-101"));
    }

    @Test
    void jobArrayFromElectionToCompletionAsMessagePackBytes() {
        GoldenFile.assertBytes("stored-array.hex", commits(runArrayToCompletion()));
    }

    @Test
    void cancelledServiceIsStoredAndThenReplacedByItsEndRecord() {
        ControllerFixture fixture = ControllerFixture.startLeader(new FakeKeyValueStore());
        FakeWorker worker = new FakeWorker("host-000231", "10.1.0.1:9000", "za");
        fixture.sendHeartbeat(worker);
        fixture.userRequest(PeerMessage.RequestKind.SUBMIT, "job-102", SERVICE_JOB);
        fixture.sendHeartbeat(worker);
        fixture.sendHeartbeat(worker);
        fixture.userRequest(PeerMessage.RequestKind.CANCEL, "job-102", "");
        fixture.sendHeartbeat(worker);
        fixture.sendHeartbeat(worker);
        GoldenFile.assertText("stored-service.json", commits(fixture));
    }

    @Test
    void gangAssignmentsShareOneAttemptAndItsCompletionIsOneRecord() {
        ControllerFixture fixture = ControllerFixture.startLeader(new FakeKeyValueStore());
        FakeWorker first = new FakeWorker("host-000231", "10.1.0.1:9000", "za");
        FakeWorker second = new FakeWorker("host-000232", "10.1.0.2:9000", "za");
        fixture.sendHeartbeat(first);
        fixture.sendHeartbeat(second);
        fixture.userRequest(PeerMessage.RequestKind.SUBMIT, "job-103", GANG_JOB);
        fixture.sendHeartbeat(first);
        fixture.sendHeartbeat(second);
        first.endTask("job-103/0", "done");
        second.endTask("job-103/0", "done");
        fixture.sendHeartbeat(first);
        fixture.sendHeartbeat(second);
        GoldenFile.assertText("stored-gang.json", commits(fixture));
    }

    @Test
    void missedHeartbeatsAreStoredAndRevokedBeforeTheMachineIsAnswered() {
        ControllerFixture fixture = ControllerFixture.startLeader(new FakeKeyValueStore());
        FakeWorker worker = new FakeWorker("host-000231", "10.1.0.1:9000", "za");
        fixture.sendHeartbeat(worker);
        fixture.userRequest(PeerMessage.RequestKind.SUBMIT, "job-102", SERVICE_JOB);
        fixture.sendHeartbeat(worker);
        fixture.advance(4000);
        fixture.sendHeartbeat(worker);
        GoldenFile.assertText("stored-silence.json", commits(fixture));
    }

    @Test
    void changedOperatorSettingsAreStoredByNameAndResetOnesAreOmitted() {
        ControllerFixture fixture = ControllerFixture.startLeader(new FakeKeyValueStore());
        fixture.operatorRequest(
                "POST",
                "settings",
                """
                {"revision":0,"change":{"pass_interval_s":2,"head_protection_s":300,"begin_within_s":100,
                "idle_boots":3,"spare_share":0.2,"empty_share":0.3,"spot_share":0.5,"preemption":false,
                "log_level":"debug"}}""");
        fixture.operatorRequest("POST", "settings/reset", "{\"revision\":1,\"names\":[\"spot_share\",\"preemption\"]}");
        GoldenFile.assertText("stored-options.json", commits(fixture));
    }
}
