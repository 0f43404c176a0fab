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

/**
 * Pins the bytes that a whole controller sends to its peers: term announcements, forwarded requests, link views, demand
 * reports and request batches.
 */
class GoldenPeerExchangeTest {
    private static final String SERVICE_JOB =
            """
            {"name_id":"job-102","berth":"web","crew":"blue","craft":"standing","precedence":"critical","passengers":1,
            "cores":1.5,"gpus":0.0,"ram_gb":0.5,"cargo":"img-08","pull_gb":1.0,"hulls":null,"harbor":null,
            "same_place":false,"apart":true,"tender":false,"crossing_s":0.0,"waypoint_s":0.0,"stow_s":0.0,
            "moor_by_s":null}""";

    /** The first link view of the peer n1, which knows no workers. */
    private static final String PEER_VIEW_HEX = "01" + "0002" + "6e31" + "0000000000000001".repeat(3) + "0002"
            + "6e30" + "0000000000000000".repeat(3) + "00000000" + "0100" + "00000000" + "00000001"
            + "0000000000000000".repeat(2) + "00000000" + "3a30000000000000".repeat(5) + "00000000" + "00"
            + "0000000000000000";

    private static ControllerFixture follower(Features features) {
        FakeKeyValueStore store = new FakeKeyValueStore()
                .withValue("a/lead", "{\"node\":\"n1\",\"term\":5,\"lease\":\"3\"}")
                .withValue("a/term", "{\"term\":5}");
        return new ControllerFixture(store, features, 8).start();
    }

    private static PeerMessage acknowledgeAsInformed(PeerMessage message) {
        PeerMessage.TermAnnouncement announcement = (PeerMessage.TermAnnouncement) message;
        return new PeerMessage.TermAnnouncement(
                announcement.term(), "n0", false, new PeerMessage.CancellationKnowledge(77, 1, true, false, List.of()));
    }

    private static String responsesTo(ControllerFixture fixture, String hex) {
        List<String> responses = new ArrayList<>();
        PeerMessage message = PeerMessageCodec.decode(HexFormat.of().parseHex(hex));
        fixture.runTask(() -> fixture.coordinator.handlePeerMessage(
                message, response -> responses.add(HexFormat.of().formatHex(PeerMessageCodec.encode(response)))));
        fixture.advance(100);
        return String.join("\n", responses);
    }

    private static void assertSentToPeers(String file, ControllerFixture fixture) {
        assertEquals(String.join("\n", GoldenFile.lines(file)), String.join("\n", fixture.sentToPeers));
    }

    @Test
    void leaderAnnouncesItsTermAndCancelledJobsThatMayHaveTasks() {
        ControllerFixture fixture = new ControllerFixture(new FakeKeyValueStore(), Features.NONE, 8);
        fixture.peerResponses = GoldenPeerExchangeTest::acknowledgeAsInformed;
        fixture.start();
        FakeWorker worker = new FakeWorker("host-000231", "10.1.0.1:9000", "za");
        fixture.sendHeartbeat(worker);
        fixture.userRequest(RequestKind.SUBMIT, "job-102", SERVICE_JOB);
        fixture.sendHeartbeat(worker);
        fixture.userRequest(RequestKind.CANCEL, "job-102", "");
        assertSentToPeers("peer-term.hex", fixture);
    }

    @Test
    void followerForwardsEveryKindOfRequestToTheLeader() {
        ControllerFixture fixture = follower(Features.NONE);
        fixture.userRequest(RequestKind.SUBMIT, "", "{\"name_id\":\"job-1\"}");
        fixture.userRequest(RequestKind.STATUS, "job-1", "");
        fixture.userRequest(RequestKind.CANCEL, "job-1", "");
        fixture.operatorRequest("GET", "queue?from=3", "");
        FakeWorker worker = new FakeWorker("host-000231", "10.1.0.1:9000", "za");
        assertEquals(421, fixture.sendHeartbeat(worker));
        assertEquals(
                503,
                fixture.sendHeartbeat(worker),
                "the worker reports here again after a redirect, so its heartbeat is forwarded");
        assertSentToPeers("peer-forward.hex", fixture);
    }

    @Test
    void leaderAnswersForwardedRequests() {
        ControllerFixture fixture = ControllerFixture.startLeader(new FakeKeyValueStore());
        assertEquals(
                "02" + "0194" + "00000000" + "00000013" + "81a56572726f72ab" + "6e6f2073756368206a6f62",
                responsesTo(fixture, "0101" + "0005" + "6a6f622d37" + "00000000"));
    }

    @Test
    void followerAnswersATermAnnouncement() {
        ControllerFixture fixture = follower(Features.NONE);
        assertEquals(
                "03" + "0000000000000006" + "0002" + "6e32" + "00" + "0000000000000001" + "0000000000000009" + "0000"
                        + "0000",
                responsesTo(
                        fixture,
                        "03" + "0000000000000006" + "0002" + "6e32" + "01" + "0000000000000009" + "0000000000000000"
                                + "0000" + "0000"));
    }

    @Test
    void withFairAdmissionAFollowerSendsItsDemandThenRequestBatches() {
        ControllerFixture fixture = follower(new Features(false, true));
        fixture.peerResponses = message -> message instanceof PeerMessage.AdmissionExchange
                ? new PeerMessage.AdmissionExchange(
                        HexFormat.of().parseHex("01" + "0000000000000005" + "0000000000000001" + "0000"))
                : null;
        fixture.advance(1500);
        fixture.userRequest(RequestKind.STATUS, "job-1", "");
        fixture.userRequest(RequestKind.CANCEL, "job-1", "");
        assertSentToPeers("peer-admission.hex", fixture);
    }

    @Test
    void withPartialCutsTermAnnouncementsAreFollowedByLinkViews() {
        ControllerFixture fixture = new ControllerFixture(new FakeKeyValueStore(), new Features(true, false), 8);
        fixture.peerResponses = message -> message instanceof PeerMessage.TermAnnouncement term
                ? ((PeerMessage.TermAnnouncement) acknowledgeAsInformed(term))
                        .withLinkViewParticipants(List.of("n1", "n2"))
                : new PeerMessage.LinkView(HexFormat.of().parseHex(PEER_VIEW_HEX));
        fixture.start();
        fixture.sendHeartbeat(new FakeWorker("host-000231", "10.1.0.1:9000", "za"));
        fixture.advance(2500);
        assertSentToPeers("peer-links.hex", fixture);
    }
}
