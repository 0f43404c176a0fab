package stileferry.protocol;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Malformed messages from the network are recognised as such, and decoding them never throws. */
class MalformedMessagesTest {
    /** Any bytes may arrive from the network, so messages with random changes must not cause exceptions. */
    @Test
    void corruptMessagesDecodeToNullWithoutException() {
        SplittableRandom random = new SplittableRandom(4);
        byte[] heartbeat = MessageCodec.encode(MessageCodec.map()
                .put("vessel", "v")
                .put("voyage", 1)
                .put("log_seq", 1)
                .put("helm", 1));
        byte[] peerMessage = PeerMessageCodec.encode(
                new PeerMessage.ForwardedRequest(PeerMessage.RequestKind.SUBMIT, "job-1", heartbeat));
        int malformed = 0;
        for (int i = 0; i < 5000; i++) {
            byte[] bytes = (random.nextBoolean() ? heartbeat : peerMessage).clone();
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            byte[] truncated = Arrays.copyOf(bytes, random.nextInt(bytes.length + 1));
            malformed +=
                    Heartbeat.read(MessageCodec.decode(truncated)) == null && PeerMessageCodec.decode(truncated) == null
                            ? 1
                            : 0;
        }
        assertTrue(malformed > 2500, "too few corrupt messages were recognised as malformed: " + malformed);
    }

    /** Decoding a body of unlimited nesting depth would exhaust the stack of the controller's only thread. */
    @Test
    void tooDeeplyNestedBodyIsMalformed() {
        byte[] nestedLists = new byte[MessageCodec.MAX_BODY_BYTES];
        Arrays.fill(nestedLists, (byte) 0x91);
        assertNull(MessageCodec.decode(nestedLists));
        assertNull(Heartbeat.read(nestedLists));
    }
}
