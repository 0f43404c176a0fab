package stileferry.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static stileferry.admission.AdmissionFixtures.CONFIG;
import static stileferry.admission.AdmissionFixtures.RED;
import static stileferry.admission.AdmissionFixtures.assertInvalid;
import static stileferry.admission.AdmissionFixtures.tableLimitingRed;

import java.util.Arrays;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** Tests that truncated messages are rejected; the golden tests pin the bytes themselves. */
class AdmissionCodecTest {
    @Test
    void messagesTruncatedAtAnyByteAreRejected() {
        byte[] table = AdmissionCodec.encode(tableLimitingRed(1, 1));
        assertEquals(tableLimitingRed(1, 1), AdmissionCodec.decodeTable(table));
        assertRejectedWhenTruncated("table", table, AdmissionCodec::decodeTable);

        DemandEstimator demand = new DemandEstimator(CONFIG);
        demand.recordRequest(RED, "job-1", 1);
        byte[] report = AdmissionCodec.encode(new DemandReport(demand.currentSketches(1)));
        assertRejectedWhenTruncated("demand", report, AdmissionCodec::decodeDemand);
    }

    private static void assertRejectedWhenTruncated(String argument, byte[] message, Function<byte[], Object> decoder) {
        for (int length = 0; length < message.length; length++) {
            byte[] truncated = Arrays.copyOf(message, length);
            assertInvalid(argument, () -> assertFalse(decoder.apply(truncated) == null));
        }
    }
}
