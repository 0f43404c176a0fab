package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stileferry.protocol.Features;
import stileferry.protocol.PeerMessage;

/** Checks that a controller can read the leader key and term that this version, 7564325 and f7fe539 write. */
class GoldenStoredLeaderKeyTest {
    private static ControllerFixture follower() {
        FakeKeyValueStore store = new FakeKeyValueStore()
                .withValue("a/lead", "{\"node\":\"n1\",\"term\":5,\"lease\":\"3\"}")
                .withValue("a/term", "{\"term\":5}");
        ControllerFixture fixture = new ControllerFixture(store, Features.NONE, 8);
        return fixture.start();
    }

    @Test
    void controllerFollowsTheLeaderThatTheKeyNames() {
        ControllerFixture fixture = follower();
        assertFalse(fixture.coordinator.leads());
        assertEquals(0, fixture.store.commits.size());
        fixture.userRequest(PeerMessage.RequestKind.STATUS, "job-7", "");
        assertEquals("n1 0101" + "0005" + "6a6f622d37" + "00000000", fixture.sentToPeers.get(0));
    }

    @Test
    void termOfTheLeaderKeyIsTheHighestKnownTerm() {
        ControllerFixture fixture = follower();
        PeerMessage[] responses = new PeerMessage[1];
        fixture.runTask(() -> fixture.coordinator.handlePeerMessage(
                new PeerMessage.TermAnnouncement(4, "n2", true), response -> responses[0] = response));
        PeerMessage.TermAnnouncement announcement = (PeerMessage.TermAnnouncement) responses[0];
        assertEquals(5, announcement.term());
        assertEquals("n1", announcement.leader());
    }

    @Test
    void leaseOfAPreviousIncarnationIsEnded() {
        FakeKeyValueStore store = new FakeKeyValueStore()
                .withValue("a/lead", "{\"node\":\"n0\",\"term\":5,\"lease\":\"3\"}")
                .withValue("a/term", "{\"term\":5}");
        ControllerFixture fixture = new ControllerFixture(store, Features.NONE, 8).start();
        assertTrue(fixture.store.requests.contains("DELETE /leases/3"), fixture.store.requests::toString);
    }

    /** Guards against a lease that a leader of a large fleet has recorded and that the next one forgets. */
    @Test
    void leaseThatTheFleetNeedsIsTakenOverFromTheStoredTerm() {
        ControllerFixture leader = ControllerFixture.startLeader(
                new FakeKeyValueStore().withValue("a/term", "{\"term\":5,\"lease_ms\":2500}"));
        String changes = leader.store.commits.get(0).path("apply").toString();
        assertTrue(changes.contains("\"put\":\"a/term\",\"v\":{\"term\":4101,\"lease_ms\":2500}"), changes);
    }

    @Test
    void followersWatchAndLeadersReadTheExpectedPrefixes() {
        ControllerFixture follower = follower();
        assertEquals("GET /kv?starts=a/&most=500", follower.store.requests.get(0));
        assertEquals("GET /watch?starts=a/&from=2&block_ms=10000", follower.store.requests.get(1));
        ControllerFixture leader = ControllerFixture.startLeader(new FakeKeyValueStore());
        assertEquals(
                java.util.List.of(
                        "GET /kv?starts=a/&most=500",
                        "POST /leases",
                        "GET /kv?starts=j/&most=500",
                        "GET /kv?starts=l/&most=500",
                        "GET /kv?starts=c/&most=500",
                        "GET /kv/a/options"),
                leader.store.requests.subList(0, 6));
    }
}
