package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HexFormat;
import java.util.TreeMap;
import org.apache.datasketches.theta.CompactSketch;
import org.apache.datasketches.theta.UpdateSketch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.admission.AdmissionCodec;
import stileferry.admission.AdmissionWindow;
import stileferry.admission.AdmissionWindowTable;
import stileferry.admission.DemandReport;
import stileferry.admission.Flow;
import stileferry.validation.InvalidInputException;

/**
 * Pins the bytes of the messages that controllers exchange for fair admission, and the hash that gives a job its
 * position on the hash ring of admission windows.
 */
class GoldenAdmissionCodecTest {
    private static final Flow CRITICAL_FLOW = new Flow("red", "train", 0);
    private static final Flow IDLE_FLOW = new Flow("blue", "*", 3);

    private static final String TABLE_HEX = "01" + "0000000000000005" + "0000000000000007" + "0002"
            + "0003" + "726564" + "0005" + "747261696e" + "00" + "3fe0000000000000" + "3f90000000000000"
            + "0004" + "626c7565" + "0001" + "2a" + "03" + "0000000000000000" + "3fa0000000000000";

    /** First half of the MurmurHash3 x64 128 of the id with seed 9001, without the lowest bit, little-endian. */
    private static final String JOB_1_HASH = "5471565692c7ed36";

    private static final String JOB_2_HASH = "7f26357fdfb76a5e";
    private static final String JOB_3_HASH = "5c9b4844bc63ac7e";

    /** A flow with a compact theta sketch of one hash, and one with a sketch of three hashes in ascending order. */
    private static final String DEMAND_HEX = "01" + "0002"
            + "0003" + "726564" + "0005" + "747261696e" + "00" + "0010" + "010303" + "0000" + "3a" + "cc93" + JOB_1_HASH
            + "0004" + "626c7565" + "0001" + "2a" + "03" + "0028" + "020303" + "0000" + "1a" + "cc93" + "03000000"
            + "0000803f" + JOB_1_HASH + JOB_2_HASH + JOB_3_HASH;

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    private static byte[] bytes(String hex) {
        return HexFormat.of().parseHex(hex);
    }

    private static CompactSketch sketch(String... ids) {
        UpdateSketch sketch = UpdateSketch.builder().setNominalEntries(256).build();
        for (String id : ids) {
            sketch.update(id);
        }
        return sketch.rebuild().compact();
    }

    @Test
    void windowTableIsEncodedAndDecodedByteForByte() {
        TreeMap<Flow, AdmissionWindow> windows = new TreeMap<>();
        windows.put(IDLE_FLOW, new AdmissionWindow(0, 0.03125));
        windows.put(CRITICAL_FLOW, new AdmissionWindow(0.5, 0.015625));
        AdmissionWindowTable table = new AdmissionWindowTable(5, 7, windows);
        assertEquals(TABLE_HEX, hex(AdmissionCodec.encode(table)));
        assertEquals(table, AdmissionCodec.decodeTable(bytes(TABLE_HEX)));
    }

    @Test
    void demandReportIsEncodedByteForByte() {
        TreeMap<Flow, CompactSketch> sketches = new TreeMap<>();
        sketches.put(IDLE_FLOW, sketch("job-1", "job-2", "job-3"));
        sketches.put(CRITICAL_FLOW, sketch("job-1"));
        assertEquals(DEMAND_HEX, hex(AdmissionCodec.encode(new DemandReport(sketches))));
    }

    @Test
    void demandReportIsDecodedFromItsBytes() {
        DemandReport read = AdmissionCodec.decodeDemand(bytes(DEMAND_HEX));
        assertEquals(
                "[" + CRITICAL_FLOW + ", " + IDLE_FLOW + "]",
                read.sketches().keySet().toString());
        assertEquals(1.0, read.sketches().get(CRITICAL_FLOW).getEstimate());
        assertEquals(3.0, read.sketches().get(IDLE_FLOW).getEstimate());
    }

    @Test
    void emptyReportAndEmptyTableHaveAZeroCount() {
        assertEquals("010000", hex(AdmissionCodec.encode(new DemandReport(new TreeMap<>()))));
        assertEquals(
                "01" + "0000000000000005" + "0000000000000001" + "0000",
                hex(AdmissionCodec.encode(new AdmissionWindowTable(5, 1, new TreeMap<>()))));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "020000", "01", "010001", "01000000"})
    void demandReportOfAnotherVersionOrLengthIsInvalid(String hex) {
        assertThrows(InvalidInputException.class, () -> AdmissionCodec.decodeDemand(bytes(hex)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "0200000000000000050000000000000001" + "0000", "0100000000000000050000000000000001"})
    void windowTableOfAnotherVersionOrLengthIsInvalid(String hex) {
        assertThrows(InvalidInputException.class, () -> AdmissionCodec.decodeTable(bytes(hex)));
    }

    /**
     * All controllers must compute the same position of a job: the upper 53 of the first 64 bits of the MurmurHash3 x64
     * 128 of its id with seed 0x51f3.
     */
    @ParameterizedTest
    @CsvSource({
        "job-1,0.04291323512108014",
        "job-000412,0.14125722504988392",
        "job-999999999999999999,0.8702133854609314"
    })
    void jobIdHashesToItsRingPosition(String id, double ringPosition) {
        TreeMap<Flow, AdmissionWindow> windows = new TreeMap<>();
        windows.put(IDLE_FLOW, new AdmissionWindow(0, 0x1.0p-10));
        double waitS = new AdmissionWindowTable(1, 1, windows).waitS(IDLE_FLOW, id, 0);
        assertEquals(ringPosition, waitS * 0x1.0p-10, 1e-12);
    }
}
