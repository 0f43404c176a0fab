package stileferry.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Messages between controllers are read as they were written, also by other versions. */
class PeerMessageCodecTest {
    @Test
    void messagesSurviveEncodingAndDecoding() {
        PeerMessage.ForwardedRequest request =
                new PeerMessage.ForwardedRequest(PeerMessage.RequestKind.CANCEL, "job-7", new byte[] {1, 2});
        PeerMessage.ForwardedRequest back =
                (PeerMessage.ForwardedRequest) PeerMessageCodec.decode(PeerMessageCodec.encode(request));
        assertEquals(request.kind(), back.kind());
        assertEquals(request.id(), back.id());
        assertArrayEquals(request.body(), back.body());
        PeerMessage.TermAnnouncement announcement = new PeerMessage.TermAnnouncement(9, "n1", true);
        assertEquals(announcement, PeerMessageCodec.decode(PeerMessageCodec.encode(announcement)));
        PeerMessage.TermAnnouncement withKnowledge = new PeerMessage.TermAnnouncement(
                9,
                "n1",
                true,
                new PeerMessage.CancellationKnowledge(1L << 60, 5, true, false, List.of("job-1", "job-2")));
        assertEquals(withKnowledge, PeerMessageCodec.decode(PeerMessageCodec.encode(withKnowledge)));
        PeerMessage.Response response = (PeerMessage.Response)
                PeerMessageCodec.decode(PeerMessageCodec.encode(new PeerMessage.Response(503, 30, new byte[0])));
        assertEquals(503, response.status());
        assertEquals(30, response.retryAfterS());
    }

    /**
     * The first version with gangs, f7fe539, writes a term as type 3, the term, the leader's
     * name and whether its sender leads, and reads just these; what follows it never looks at.
     */
    @Test
    void termAnnouncementsAreCompatibleWithOlderVersion() {
        byte[] old = HexFormat.of().parseHex("03" + "0000000000000009" + "0002" + "6e31" + "01");
        assertEquals(new PeerMessage.TermAnnouncement(9, "n1", true), PeerMessageCodec.decode(old));
        byte[] now = PeerMessageCodec.encode(new PeerMessage.TermAnnouncement(
                9, "n1", true, new PeerMessage.CancellationKnowledge(1, 2, true, true, List.of("job-1"))));
        assertArrayEquals(old, Arrays.copyOf(now, old.length), "what the older version reads comes first, unchanged");
        assertArrayEquals(old, PeerMessageCodec.encode(new PeerMessage.TermAnnouncement(9, "n1", true)));
    }
}
