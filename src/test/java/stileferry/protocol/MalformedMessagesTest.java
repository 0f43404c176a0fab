package stileferry.protocol;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Nothing malformed that arrives from the network gets through, and nothing of it throws. */
class MalformedMessagesTest {
    /** Anything may arrive from the network; nothing of it may throw. */
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
        int refused = 0;
        for (int i = 0; i < 5000; i++) {
            byte[] bytes = (random.nextBoolean() ? heartbeat : peerMessage).clone();
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            byte[] cut = Arrays.copyOf(bytes, random.nextInt(bytes.length + 1));
            refused += Heartbeat.read(MessageCodec.decode(cut)) == null && PeerMessageCodec.decode(cut) == null ? 1 : 0;
        }
        assertTrue(refused > 2500, "too much noise was understood: " + refused);
    }

    /** A body nested without end would exhaust the stack of the one thread. */
    @Test
    void tooDeeplyNestedBodyIsMalformed() {
        byte[] deep = new byte[MessageCodec.MAX_BODY_BYTES];
        Arrays.fill(deep, (byte) 0x91);
        assertNull(MessageCodec.decode(deep));
        assertNull(Heartbeat.read(deep));
    }
}
