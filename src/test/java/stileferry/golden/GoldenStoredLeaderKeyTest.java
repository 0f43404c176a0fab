package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stileferry.protocol.Features;
import stileferry.protocol.PeerMessage;

/** The leader key and the term, as this version, 7564325 and f7fe539 write them, are read by who comes next. */
class GoldenStoredLeaderKeyTest {
    private static StoredRecordsFixture following() {
        StoredKeyValues store = new StoredKeyValues()
                .with("a/lead", "{\"node\":\"n1\",\"term\":5,\"lease\":\"3\"}")
                .with("a/term", "{\"term\":5}");
        StoredRecordsFixture fixture = new StoredRecordsFixture(store, Features.NONE, 8);
        return fixture.start();
    }

    @Test
    void whoeverTheLeaderKeyNamesIsFollowed() {
        StoredRecordsFixture fixture = following();
        assertFalse(fixture.coordinator.leads());
        assertEquals(0, fixture.store.commits.size());
        fixture.user(PeerMessage.RequestKind.STATUS, "job-7", "");
        assertEquals("n1 0101" + "0005" + "6a6f622d37" + "00000000", fixture.peerBytes.get(0));
    }

    @Test
    void termOfTheLeaderKeyIsTheHighestThatIsKnown() {
        StoredRecordsFixture fixture = following();
        PeerMessage[] answer = new PeerMessage[1];
        fixture.turn(() -> fixture.coordinator.handlePeerMessage(
                new PeerMessage.TermAnnouncement(4, "n2", true), told -> answer[0] = told));
        PeerMessage.TermAnnouncement told = (PeerMessage.TermAnnouncement) answer[0];
        assertEquals(5, told.term());
        assertEquals("n1", told.leader());
    }

    @Test
    void leaderKeyOfAFormerLifeIsGivenUpByItsLease() {
        StoredKeyValues store = new StoredKeyValues()
                .with("a/lead", "{\"node\":\"n0\",\"term\":5,\"lease\":\"3\"}")
                .with("a/term", "{\"term\":5}");
        StoredRecordsFixture fixture = new StoredRecordsFixture(store, Features.NONE, 8).start();
        assertTrue(fixture.store.requests.contains("DELETE /leases/3"), fixture.store.requests::toString);
    }

    @Test
    void prefixesThatFollowersWatchAndLeadersRead() {
        StoredRecordsFixture follower = following();
        assertEquals("GET /kv?starts=a/&most=500", follower.store.requests.get(0));
        assertEquals("GET /watch?starts=a/&from=2&block_ms=10000", follower.store.requests.get(1));
        StoredRecordsFixture leader = StoredRecordsFixture.leading(new StoredKeyValues());
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
