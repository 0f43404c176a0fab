package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import stileferry.protocol.PeerMessage;

/** What a leader writes to the key-value store: keys, fields, order and bytes, with all optional parts off. */
class GoldenStoredRecordsTest {
    private static final String ARRAY =
            """
            {"name_id":"job-101","berth":"train","crew":"red","craft":"array","precedence":"urgent","passengers":3,
            "cores":2.0,"gpus":0.0,"ram_gb":4.0,"cargo":"img-07","pull_gb":6.2,"hulls":["box"],"harbor":"za",
            "same_place":true,"apart":false,"tender":true,"crossing_s":240.0,"waypoint_s":30.0,"stow_s":4.0,
            "moor_by_s":900.0}""";

    private static final String SERVICE =
            """
            {"name_id":"job-102","berth":"web","crew":"blue","craft":"standing","precedence":"critical","passengers":1,
            "cores":1.5,"gpus":0.0,"ram_gb":0.5,"cargo":"img-08","pull_gb":1.0,"hulls":null,"harbor":null,
            "same_place":false,"apart":true,"tender":false,"crossing_s":0.0,"waypoint_s":0.0,"stow_s":0.0,
            "moor_by_s":null}""";

    private static final String GANG =
            """
            {"name_id":"job-103","berth":"sim","crew":"blue","craft":"group","precedence":"idle","passengers":2,
            "cores":1.0,"gpus":0.0,"ram_gb":1.0,"cargo":"img-09","pull_gb":1.0,"same_place":true,"apart":false,
            "tender":false,"crossing_s":60.0,"waypoint_s":5.0,"stow_s":2.0}""";

    private static List<JsonNode> commits(StoredRecordsFixture fixture) {
        return fixture.store.commits;
    }

    private static StoredRecordsFixture arrayFromSubmissionToCompletion() {
        StoredRecordsFixture fixture = StoredRecordsFixture.leading(new StoredKeyValues());
        StoredWorker worker = new StoredWorker("host-000231", "10.1.0.1:9000", "za");
        fixture.report(worker);
        fixture.user(PeerMessage.RequestKind.SUBMIT, "job-101", ARRAY);
        fixture.report(worker);
        fixture.report(worker);
        worker.exit("job-101/0", "done");
        worker.exit("job-101/1", "error");
        fixture.report(worker);
        fixture.report(worker);
        StoredWorker other = new StoredWorker("host-000232", "10.1.0.2:9000", "za");
        fixture.report(other);
        fixture.advance(1500);
        fixture.report(other);
        other.exit("job-101/1", "done");
        fixture.report(other);
        worker.exit("job-101/2", "done");
        fixture.report(worker);
        return fixture;
    }

    @Test
    void leaderKeyTermAndLifeOfAJobArrayAsText() {
        StoredRecordsFixture fixture = arrayFromSubmissionToCompletion();
        StoredGolden.assertText("stored-array.json", commits(fixture));
        assertEquals("{\"how\":\"done\",\"done\":3,\"x\":\"1-5\"}", fixture.store.value("e/job-101"));
    }

    @Test
    void leaderKeyTermAndLifeOfAJobArrayAsMessagePackBytes() {
        StoredGolden.assertBytes("stored-array.hex", commits(arrayFromSubmissionToCompletion()));
    }

    @Test
    void serviceIsStoredAsCancelledAndThenMovedToItsEndRecord() {
        StoredRecordsFixture fixture = StoredRecordsFixture.leading(new StoredKeyValues());
        StoredWorker worker = new StoredWorker("host-000231", "10.1.0.1:9000", "za");
        fixture.report(worker);
        fixture.user(PeerMessage.RequestKind.SUBMIT, "job-102", SERVICE);
        fixture.report(worker);
        fixture.report(worker);
        fixture.user(PeerMessage.RequestKind.CANCEL, "job-102", "");
        fixture.report(worker);
        fixture.report(worker);
        StoredGolden.assertText("stored-service.json", commits(fixture));
    }

    @Test
    void gangClaimsShareOneAttemptAndItsEndIsOneRecord() {
        StoredRecordsFixture fixture = StoredRecordsFixture.leading(new StoredKeyValues());
        StoredWorker first = new StoredWorker("host-000231", "10.1.0.1:9000", "za");
        StoredWorker second = new StoredWorker("host-000232", "10.1.0.2:9000", "za");
        fixture.report(first);
        fixture.report(second);
        fixture.user(PeerMessage.RequestKind.SUBMIT, "job-103", GANG);
        fixture.report(first);
        fixture.report(second);
        first.exit("job-103/0", "done");
        second.exit("job-103/0", "done");
        fixture.report(first);
        fixture.report(second);
        StoredGolden.assertText("stored-gang.json", commits(fixture));
    }

    @Test
    void silenceOfAMachineIsStoredAndTakenBackBeforeItIsAnswered() {
        StoredRecordsFixture fixture = StoredRecordsFixture.leading(new StoredKeyValues());
        StoredWorker worker = new StoredWorker("host-000231", "10.1.0.1:9000", "za");
        fixture.report(worker);
        fixture.user(PeerMessage.RequestKind.SUBMIT, "job-102", SERVICE);
        fixture.report(worker);
        fixture.advance(4000);
        fixture.report(worker);
        StoredGolden.assertText("stored-silence.json", commits(fixture));
    }

    @Test
    void everyOperatorSettingIsStoredUnderItsNameAndResetOnesAreLeftOut() {
        StoredRecordsFixture fixture = StoredRecordsFixture.leading(new StoredKeyValues());
        fixture.operator(
                "POST",
                "settings",
                """
                {"revision":0,"change":{"pass_interval_s":2,"head_protection_s":300,"begin_within_s":100,
                "idle_boots":3,"spare_share":0.2,"empty_share":0.3,"spot_share":0.5,"preemption":false,
                "log_level":"debug"}}""");
        fixture.operator("POST", "settings/reset", "{\"revision\":1,\"names\":[\"spot_share\",\"preemption\"]}");
        StoredGolden.assertText("stored-options.json", commits(fixture));
    }
}
