package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stileferry.protocol.Features;
import stileferry.protocol.PeerMessage;

/**
 * Pins what a leader with fair admission stores to count admitted jobs: the shards of the count, and the first term of
 * the run of consecutive terms in which all leaders counted.
 */
class GoldenStoredAdmissionCountsTest {
    private static final Features FAIR_ADMISSION = new Features(false, true);

    private static final String JOB_TEMPLATE =
            """
            {"name_id":"%s","berth":"%s","crew":"%s","craft":"array","precedence":"normal","passengers":1,\
            "cores":1.0,"gpus":0.0,"ram_gb":1.0,"cargo":"img-07","pull_gb":1.0,"harbor":null,"same_place":false,\
            "apart":false,"tender":false,"crossing_s":60.0,"waypoint_s":0.0,"stow_s":0.0}""";

    private static String job(String id, String jobClass, String team) {
        return JOB_TEMPLATE.formatted(id, jobClass, team);
    }

    private static int submit(ControllerFixture fixture, String id, String jobClass, String team) {
        return fixture.userRequest(PeerMessage.RequestKind.SUBMIT, id, job(id, jobClass, team))
                .status();
    }

    private static String appliedChanges(ControllerFixture fixture, int number) {
        return fixture.store.commits.get(number).path("apply").toString();
    }

    @Test
    void acceptingTransactionCountsTheJob() {
        ControllerFixture fixture = ControllerFixture.startLeader(new FakeKeyValueStore(), FAIR_ADMISSION);
        assertEquals(201, submit(fixture, "job-1", "train", "red"));
        assertEquals(
                """
                [{"put":"a/lead","v":{"node":"n0","term":4096,"lease":"7"},"mooring":7},\
                {"put":"a/term","v":{"term":4096,"counting_since":1}}]""",
                appliedChanges(fixture, 0));
        assertEquals(
                """
                {"if":[{"path":"a/lead","entry_rev":1},{"path":"j/job-1","entry_rev":0},\
                {"path":"e/job-1","entry_rev":0},{"path":"n/0","entry_rev":0}],\
                "apply":[{"put":"j/job-1","v":{"order":4294967297,"at":1700000001000,"cancelled":false,\
                "spec":"""
                        + job("job-1", "train", "red")
                        + """
                        ,"x":"1-0"}},{"put":"n/0","v":{"run":1,"counts":{"red":{"train":1}},"x":"1-0"}}]}""",
                fixture.store
                        .commits
                        .get(1)
                        .toString()
                        .replaceAll("\"at\":17000000010[0-9]{2}", "\"at\":1700000001000"));
    }

    @Test
    void classesNotNamedInTheSettingsAreCountedTogether() {
        ControllerFixture fixture = ControllerFixture.startLeader(new FakeKeyValueStore(), FAIR_ADMISSION);
        submit(fixture, "job-1", "train", "red");
        submit(fixture, "job-2", "web", "red");
        submit(fixture, "job-3", "other", "blue");
        submit(fixture, "job-4", "another", "blue");
        assertEquals(
                "{\"run\":1,\"counts\":{\"blue\":{\"*\":2},\"red\":{\"*\":1,\"train\":1}},\"x\":\"1-3\"}",
                fixture.store.value("n/0"));
    }

    @Test
    void countingContinuesFromTheStoredRunAndShards() {
        ControllerFixture fixture = ControllerFixture.startLeader(
                new FakeKeyValueStore()
                        .withValue("a/term", "{\"term\":4,\"counting_since\":3}")
                        .withValue("n/0", "{\"run\":3,\"counts\":{\"red\":{\"train\":41}},\"x\":\"4-7\"}"),
                FAIR_ADMISSION);
        submit(fixture, "job-1", "train", "red");
        assertTrue(appliedChanges(fixture, 0)
                .endsWith("{\"put\":\"a/term\",\"v\":{\"term\":4100,\"counting_since\":3}}]"));
        assertEquals("{\"run\":3,\"counts\":{\"red\":{\"train\":42}},\"x\":\"5-0\"}", fixture.store.value("n/0"));
    }

    @Test
    void shardsRecordUntilWhenTheyAreCompleteAfterALeaderThatDoesNotCount() {
        ControllerFixture fixture = ControllerFixture.startLeader(
                new FakeKeyValueStore()
                        .withValue("n/0", "{\"run\":3,\"counts\":{\"red\":{\"train\":41}},\"x\":\"4-7\"}")
                        .withValue("a/term", "{\"term\":5}"),
                FAIR_ADMISSION);
        submit(fixture, "job-1", "train", "red");
        assertTrue(appliedChanges(fixture, 0)
                .endsWith("{\"put\":\"a/term\",\"v\":{\"term\":4101,\"counting_since\":6}}]"));
        assertEquals(
                "{\"run\":6,\"complete_until\":1,\"counts\":{\"red\":{\"train\":42}},\"x\":\"6-0\"}",
                fixture.store.value("n/0"));
    }

    @Test
    void leaderWithoutTheFeatureEndsTheRunAndKeepsTheShards() {
        String shard = "{\"run\":3,\"counts\":{\"red\":{\"train\":41}},\"x\":\"4-7\"}";
        ControllerFixture fixture = ControllerFixture.startLeader(new FakeKeyValueStore()
                .withValue("a/term", "{\"term\":4,\"counting_since\":3}")
                .withValue("n/0", shard));
        submit(fixture, "job-1", "train", "red");
        assertEquals("{\"term\":4100}", fixture.store.value("a/term"));
        assertEquals(shard, fixture.store.value("n/0"));
    }

    @Test
    void totalsAreTheSumOfTheShards() {
        ControllerFixture fixture = ControllerFixture.startLeader(
                new FakeKeyValueStore()
                        .withValue(
                                "n/0", "{\"run\":3,\"complete_until\":17,\"counts\":{\"red\":{\"train\":41,\"*\":1}}}")
                        .withValue("n/1", "{\"run\":3,\"complete_until\":17,\"counts\":{\"blue\":{\"*\":5}}}")
                        .withValue("a/term", "{\"term\":4,\"counting_since\":3}"),
                FAIR_ADMISSION);
        String totals = fixture.operatorRequest("GET", "admission", "")
                .body()
                .path("totals")
                .toString();
        assertEquals(
                """
                {"revision":4,"admitted":47,"complete":false,"incomplete_from_revision":17,"admissions":[\
                {"team":"blue","class":"*","admitted":5},{"team":"red","class":"*","admitted":1},\
                {"team":"red","class":"train","admitted":41}]}""",
                totals);
    }
}
