package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import stileferry.protocol.Features;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessage.RequestKind;
import stileferry.protocol.PeerMessageCodec;

/** What controllers really send each other, in a scripted world: terms, forwarded requests, views, demand, batches. */
class GoldenPeerExchangeTest {
    private static final String SERVICE =
            """
            {"name_id":"job-102","berth":"web","crew":"blue","craft":"standing","precedence":"critical","passengers":1,
            "cores":1.5,"gpus":0.0,"ram_gb":0.5,"cargo":"img-08","pull_gb":1.0,"hulls":null,"harbor":null,
            "same_place":false,"apart":true,"tender":false,"crossing_s":0.0,"waypoint_s":0.0,"stow_s":0.0,
            "moor_by_s":null}""";

    /** What n1 says: its first view, of no worker. */
    private static final String VIEW_OF_ANOTHER = "01" + "0002" + "6e31" + "0000000000000001".repeat(3) + "0002"
            + "6e30" + "0000000000000000".repeat(3) + "00000000" + "0100" + "00000000" + "00000001"
            + "0000000000000000".repeat(2) + "00000000" + "3a30000000000000".repeat(5) + "00000000" + "00"
            + "0000000000000000";

    private static StoredRecordsFixture following(Features features) {
        StoredKeyValues store = new StoredKeyValues()
                .with("a/lead", "{\"node\":\"n1\",\"term\":5,\"lease\":\"3\"}")
                .with("a/term", "{\"term\":5}");
        return new StoredRecordsFixture(store, features, 8).start();
    }

    private static PeerMessage informed(PeerMessage record) {
        PeerMessage.TermAnnouncement heard = (PeerMessage.TermAnnouncement) record;
        return new PeerMessage.TermAnnouncement(
                heard.term(), "n0", false, new PeerMessage.CancellationKnowledge(77, 1, true, false, List.of()));
    }

    private static String answer(StoredRecordsFixture fixture, String hex) {
        List<String> answers = new ArrayList<>();
        PeerMessage record = PeerMessageCodec.decode(HexFormat.of().parseHex(hex));
        fixture.turn(() -> fixture.coordinator.handlePeerMessage(
                record, told -> answers.add(HexFormat.of().formatHex(PeerMessageCodec.encode(told)))));
        fixture.advance(100);
        return String.join("\n", answers);
    }

    private static void assertSent(String file, StoredRecordsFixture fixture) {
        assertEquals(String.join("\n", StoredGolden.lines(file)), String.join("\n", fixture.peerBytes));
    }

    @Test
    void leaderTellsItsTermAndCancellationsThatMayHaveTasks() {
        StoredRecordsFixture fixture = new StoredRecordsFixture(new StoredKeyValues(), Features.NONE, 8);
        fixture.peers = GoldenPeerExchangeTest::informed;
        fixture.start();
        StoredWorker worker = new StoredWorker("host-000231", "10.1.0.1:9000", "za");
        fixture.report(worker);
        fixture.user(RequestKind.SUBMIT, "job-102", SERVICE);
        fixture.report(worker);
        fixture.user(RequestKind.CANCEL, "job-102", "");
        assertSent("peer-term.hex", fixture);
    }

    @Test
    void followerForwardsEveryKindOfRequestToTheLeader() {
        StoredRecordsFixture fixture = following(Features.NONE);
        fixture.user(RequestKind.SUBMIT, "", "{\"name_id\":\"job-1\"}");
        fixture.user(RequestKind.STATUS, "job-1", "");
        fixture.user(RequestKind.CANCEL, "job-1", "");
        fixture.operator("GET", "queue?from=3", "");
        StoredWorker worker = new StoredWorker("host-000231", "10.1.0.1:9000", "za");
        assertEquals(421, fixture.report(worker));
        assertEquals(503, fixture.report(worker), "it comes back, so its report is passed on");
        assertSent("peer-forward.hex", fixture);
    }

    @Test
    void leaderAnswersForwardedRequests() {
        StoredRecordsFixture fixture = StoredRecordsFixture.leading(new StoredKeyValues());
        assertEquals(
                "02" + "0194" + "00000000" + "00000013" + "81a56572726f72ab" + "6e6f2073756368206a6f62",
                answer(fixture, "0101" + "0005" + "6a6f622d37" + "00000000"));
    }

    @Test
    void followerAnswersATerm() {
        StoredRecordsFixture fixture = following(Features.NONE);
        assertEquals(
                "03" + "0000000000000006" + "0002" + "6e32" + "00" + "0000000000000001" + "0000000000000009" + "0000"
                        + "0000",
                answer(
                        fixture,
                        "03" + "0000000000000006" + "0002" + "6e32" + "01" + "0000000000000009" + "0000000000000000"
                                + "0000" + "0000"));
    }

    @Test
    void withFairAdmissionAFollowerSendsItsDemandAndThenBatches() {
        StoredRecordsFixture fixture = following(new Features(false, true));
        fixture.peers = record -> record instanceof PeerMessage.AdmissionExchange
                ? new PeerMessage.AdmissionExchange(
                        HexFormat.of().parseHex("01" + "0000000000000005" + "0000000000000001" + "0000"))
                : null;
        fixture.advance(1500);
        fixture.user(RequestKind.STATUS, "job-1", "");
        fixture.user(RequestKind.CANCEL, "job-1", "");
        assertSent("peer-admission.hex", fixture);
    }

    @Test
    void withPartialCutsTermsNameWhoExchangesViewsAndViewsFollow() {
        StoredRecordsFixture fixture = new StoredRecordsFixture(new StoredKeyValues(), new Features(true, false), 8);
        fixture.peers = record -> record instanceof PeerMessage.TermAnnouncement term
                ? ((PeerMessage.TermAnnouncement) informed(term)).withLinkViewParticipants(List.of("n1", "n2"))
                : new PeerMessage.LinkView(HexFormat.of().parseHex(VIEW_OF_ANOTHER));
        fixture.start();
        fixture.report(new StoredWorker("host-000231", "10.1.0.1:9000", "za"));
        fixture.advance(2500);
        assertSent("peer-links.hex", fixture);
    }
}
