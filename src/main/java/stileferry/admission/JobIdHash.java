package stileferry.admission;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Maps job ids to positions on the hash ring of {@link AdmissionWindow}, identically at every controller. */
final class JobIdHash {
    /** Must not differ between versions: the leader and the followers compare positions. */
    private static final HashFunction HASH = Hashing.murmur3_128(0x51f3);

    private static final int MANTISSA_BITS = 53;
    private static final double RING_UNIT = 0x1.0p-53;

    private JobIdHash() {}

    /** Returns the ring position of a job, in [0, 1), uniformly distributed over all ids. */
    static double ringPosition(String id) {
        long hash = HASH.hashString(id, StandardCharsets.UTF_8).asLong();
        return (hash >>> (Long.SIZE - MANTISSA_BITS)) * RING_UNIT;
    }
}
