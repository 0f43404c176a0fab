package stileferry.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Encoding and decoding of messages between controllers, also of different versions. */
class PeerMessageCodecTest {
    @Test
    void messagesSurviveEncodingAndDecoding() {
        PeerMessage.ForwardedRequest request =
                new PeerMessage.ForwardedRequest(PeerMessage.RequestKind.CANCEL, "job-7", new byte[] {1, 2});
        PeerMessage.ForwardedRequest decoded =
                (PeerMessage.ForwardedRequest) PeerMessageCodec.decode(PeerMessageCodec.encode(request));
        assertEquals(request.kind(), decoded.kind());
        assertEquals(request.id(), decoded.id());
        assertArrayEquals(request.body(), decoded.body());
        PeerMessage.TermAnnouncement announcement = new PeerMessage.TermAnnouncement(9, "n1", true);
        assertEquals(announcement, PeerMessageCodec.decode(PeerMessageCodec.encode(announcement)));
        PeerMessage.TermAnnouncement withCancellations = new PeerMessage.TermAnnouncement(
                9,
                "n1",
                true,
                new PeerMessage.CancellationKnowledge(1L << 60, 5, true, false, List.of("job-1", "job-2")));
        assertEquals(withCancellations, PeerMessageCodec.decode(PeerMessageCodec.encode(withCancellations)));
        PeerMessage.Response response = (PeerMessage.Response)
                PeerMessageCodec.decode(PeerMessageCodec.encode(new PeerMessage.Response(503, 30, new byte[0])));
        assertEquals(503, response.status());
        assertEquals(30, response.retryAfterS());
    }

    /**
     * The first version with gangs, f7fe539, encodes a term announcement as kind 3, the term, the leader's name and
     * whether the sender leads. It decodes only these fields and ignores the rest of the message.
     */
    @Test
    void termAnnouncementsAreCompatibleWithOlderVersion() {
        byte[] old = HexFormat.of().parseHex("03" + "0000000000000009" + "0002" + "6e31" + "01");
        assertEquals(new PeerMessage.TermAnnouncement(9, "n1", true), PeerMessageCodec.decode(old));
        byte[] current = PeerMessageCodec.encode(new PeerMessage.TermAnnouncement(
                9, "n1", true, new PeerMessage.CancellationKnowledge(1, 2, true, true, List.of("job-1"))));
        assertArrayEquals(
                old, Arrays.copyOf(current, old.length), "the fields of the older version must come first, unchanged");
        assertArrayEquals(old, PeerMessageCodec.encode(new PeerMessage.TermAnnouncement(9, "n1", true)));
    }
}
