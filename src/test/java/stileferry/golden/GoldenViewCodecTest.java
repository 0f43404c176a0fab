package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.roaringbitmap.RoaringBitmap;
import stileferry.connectivity.ReachabilityView;
import stileferry.connectivity.ReachabilityView.ControllerHealth;
import stileferry.connectivity.ReachabilityView.HandoverNotice;
import stileferry.connectivity.ReachabilityView.Header;
import stileferry.connectivity.ReachabilityView.ProbeTarget;
import stileferry.connectivity.ReachabilityView.WorkerChanges;
import stileferry.connectivity.ViewCodec;
import stileferry.validation.InvalidInputException;

/** Pins the encoding of a controller's view of its links, byte for byte. */
class GoldenViewCodecTest {
    private static final String HEADER_HEX = "01" + "0002" + "6e30" + "0000000000000011" + "0000000000000012"
            + "0000000000000013" + "0002" + "6e31" + "0000000000000014" + "0000000000000015" + "0000000000000016"
            + "00000017";

    private static final String HEALTH_HEX = "01" + "00" + "00000002" + "0002" + "6e31" + "0002" + "6e32";

    /** Roaring bitmaps in the portable format, little-endian: the empty set, {2}, and {0, 2}. */
    private static final String EMPTY_BITMAP_HEX = "3a300000" + "00000000";

    private static final String BITMAP_2_HEX = "3a300000" + "01000000" + "0000" + "0000" + "10000000" + "0200";
    private static final String BITMAP_0_2_HEX =
            "3a300000" + "01000000" + "0000" + "0100" + "10000000" + "0000" + "0200";

    private static final String WORKERS_HEX = "00000003" + "0000000000000004" + "0000000000000006" + "00000002" + "0006"
            + "686f73742d31" + "0006" + "686f73742d33" + BITMAP_0_2_HEX + EMPTY_BITMAP_HEX + BITMAP_0_2_HEX
            + BITMAP_2_HEX + EMPTY_BITMAP_HEX;

    private static final String PROBES_HEX = "00000001" + "0006" + "686f73742d31" + "0008" + "31302e302e313a39";

    private static final String HANDOVER_HEX =
            "01" + "0000000000000021" + "0000000000000013" + "0002" + "6e32" + "0000000000000022" + "01";

    private static final String FULL_VIEW_HEX =
            HEADER_HEX + HEALTH_HEX + WORKERS_HEX + PROBES_HEX + HANDOVER_HEX + "0000000000000023";

    private static final String EMPTY_VIEW_HEX = "01" + "0002" + "6e30" + "0000000000000001".repeat(3) + "0000"
            + "0000000000000000".repeat(3) + "00000000" + "0001" + "00000000" + "00000001"
            + "0000000000000000".repeat(2)
            + "00000000" + EMPTY_BITMAP_HEX.repeat(5) + "00000000" + "00" + "0000000000000000";

    private static ReachabilityView fullView() {
        return new ReachabilityView(
                new Header("n0", 0x11, 0x12, 0x13, "n1", 0x14, 0x15, 0x16, 0x17),
                new ControllerHealth(true, false, List.of("n1", "n2")),
                new WorkerChanges(
                        3,
                        4,
                        6,
                        List.of("host-1", "host-3"),
                        RoaringBitmap.bitmapOf(0, 2),
                        new RoaringBitmap(),
                        RoaringBitmap.bitmapOf(0, 2),
                        RoaringBitmap.bitmapOf(2),
                        new RoaringBitmap()),
                List.of(new ProbeTarget("host-1", "10.0.1:9")),
                new HandoverNotice(0x21, 0x13, "n2", 0x22, true),
                0x23);
    }

    private static ReachabilityView emptyView() {
        return new ReachabilityView(
                new Header("n0", 1, 1, 1, "", 0, 0, 0, 0),
                new ControllerHealth(false, true, List.of()),
                new WorkerChanges(
                        1,
                        0,
                        0,
                        List.of(),
                        new RoaringBitmap(),
                        new RoaringBitmap(),
                        new RoaringBitmap(),
                        new RoaringBitmap(),
                        new RoaringBitmap()),
                List.of(),
                null,
                0);
    }

    private static byte[] fromHex(String hex) {
        return HexFormat.of().parseHex(hex);
    }

    @Test
    void viewWithAllPartsIsEncodedAndDecoded() {
        assertEquals(FULL_VIEW_HEX, HexFormat.of().formatHex(ViewCodec.write(fullView())));
        assertEquals(fullView(), ViewCodec.read(fromHex(FULL_VIEW_HEX)));
    }

    @Test
    void viewWithoutWorkersProbesAndHandoverIsEncodedAndDecoded() {
        assertEquals(EMPTY_VIEW_HEX, HexFormat.of().formatHex(ViewCodec.write(emptyView())));
        assertEquals(emptyView(), ViewCodec.read(fromHex(EMPTY_VIEW_HEX)));
    }

    @Test
    void bytesAfterTheKnownFieldsAreIgnored() {
        assertEquals(fullView(), ViewCodec.read(fromHex(FULL_VIEW_HEX + "ff00")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "02", HEADER_HEX, HEADER_HEX + HEALTH_HEX})
    void unknownVersionsAndTruncatedViewsAreInvalid(String hex) {
        assertThrows(InvalidInputException.class, () -> ViewCodec.read(fromHex(hex)));
    }
}
