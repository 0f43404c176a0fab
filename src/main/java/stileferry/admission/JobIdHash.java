package stileferry.admission;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Where on the circle of turns a job stands: a number in [0, 1) that every controller computes alike. */
final class JobIdHash {
    private static final HashFunction HASH = Hashing.murmur3_128(0x51f3);
    private static final double UNIT = 0x1.0p-53;

    private JobIdHash() {}

    /** The place of a job, evenly spread over all ids. */
    static double ringPosition(String id) {
        return (HASH.hashString(id, StandardCharsets.UTF_8).asLong() >>> 11) * UNIT;
    }
}
