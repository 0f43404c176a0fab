package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessage.RequestKind;
import stileferry.protocol.PeerMessageCodec;

/** Every kind of record that controllers send each other, byte for byte, written and read. */
class GoldenPeerRecordsTest {
    private static final PeerMessage.CancellationKnowledge KNOWLEDGE =
            new PeerMessage.CancellationKnowledge(1L << 60, 5, true, false, List.of("job-1", "job-2"));

    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replace(" ", ""));
    }

    private static Stream<Arguments> kinds() {
        return Stream.of(requestsAndAnswers(), terms(), kindsOfFeatures()).flatMap(kinds -> kinds);
    }

    private static Stream<Arguments> requestsAndAnswers() {
        return Stream.of(
                Arguments.of(
                        "submission",
                        new PeerMessage.ForwardedRequest(RequestKind.SUBMIT, "", hex("80")),
                        "01 00 0000 00000001 80"),
                Arguments.of(
                        "status",
                        new PeerMessage.ForwardedRequest(RequestKind.STATUS, "job-7", new byte[0]),
                        "01 01 0005 6a6f622d37 00000000"),
                Arguments.of(
                        "cancellation",
                        new PeerMessage.ForwardedRequest(RequestKind.CANCEL, "job-7", hex("c102")),
                        "01 02 0005 6a6f622d37 00000002 c102"),
                Arguments.of(
                        "heartbeat",
                        new PeerMessage.ForwardedRequest(RequestKind.HEARTBEAT, "host-1", hex("80")),
                        "01 03 0006 686f73742d31 00000001 80"),
                Arguments.of(
                        "operator",
                        new PeerMessage.ForwardedRequest(RequestKind.ADMINISTRATION, "GET teams", new byte[0]),
                        "01 04 0009 474554207465616d73 00000000"),
                Arguments.of(
                        "answer",
                        new PeerMessage.Response(503, 30, hex("81a0c0")),
                        "02 01f7 0000001e 00000003 81a0c0"));
    }

    private static Stream<Arguments> terms() {
        return Stream.of(
                Arguments.of(
                        "term of the first form",
                        new PeerMessage.TermAnnouncement(9, "n1", true),
                        "03 0000000000000009 0002 6e31 01"),
                Arguments.of(
                        "term whose leader is not known",
                        new PeerMessage.TermAnnouncement(9, "", false),
                        "03 0000000000000009 0000 00"),
                Arguments.of(
                        "term with what is known of cancellations",
                        new PeerMessage.TermAnnouncement(9, "n1", true, KNOWLEDGE),
                        "03 0000000000000009 0002 6e31 01 1000000000000000 0000000000000005 01 00"
                                + " 0002 0005 6a6f622d31 0005 6a6f622d32"),
                Arguments.of(
                        "term with who exchanges views",
                        new PeerMessage.TermAnnouncement(9, "n1", true, KNOWLEDGE)
                                .withLinkViewParticipants(List.of("n1", "n0")),
                        "03 0000000000000009 0002 6e31 01 1000000000000000 0000000000000005 01 00"
                                + " 0002 0005 6a6f622d31 0005 6a6f622d32 02 0002 6e31 0002 6e30"));
    }

    private static Stream<Arguments> kindsOfFeatures() {
        return Stream.of(
                Arguments.of("view of links", new PeerMessage.LinkView(hex("010203")), "04 00000003 010203"),
                Arguments.of("demand or turns", new PeerMessage.AdmissionExchange(hex("0102")), "05 00000002 0102"),
                Arguments.of(
                        "batch",
                        new PeerMessage.RequestBatch(List.of(
                                new PeerMessage.ForwardedRequest(RequestKind.STATUS, "job-7", new byte[0]),
                                new PeerMessage.ForwardedRequest(RequestKind.SUBMIT, "", hex("80")))),
                        "06 0002 01 0005 6a6f622d37 00000000 00 0000 00000001 80"),
                Arguments.of(
                        "answers to a batch",
                        new PeerMessage.ResponseBatch(List.of(
                                new PeerMessage.Response(200, 0, hex("80")),
                                new PeerMessage.Response(503, 1, new byte[0]))),
                        "07 0002 00c8 00000000 00000001 80 01f7 00000001 00000000"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void recordIsWrittenByteForByte(String name, PeerMessage record, String golden) {
        assertEquals(golden.replace(" ", ""), HexFormat.of().formatHex(PeerMessageCodec.encode(record)));
    }

    /** Arrays in records are compared by identity, so the meaning is compared as text. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void recordIsReadFromItsBytes(String name, PeerMessage record, String golden) {
        assertEquals(text(record), text(PeerMessageCodec.decode(hex(golden))));
    }

    private static String text(PeerMessage record) {
        HexFormat bytes = HexFormat.of();
        if (record instanceof PeerMessage.ForwardedRequest forward) {
            return forward.kind() + " " + forward.id() + " " + bytes.formatHex(forward.body());
        } else if (record instanceof PeerMessage.Response answer) {
            return answer.status() + " " + answer.retryAfterS() + " " + bytes.formatHex(answer.body());
        } else if (record instanceof PeerMessage.LinkView links) {
            return "links " + bytes.formatHex(links.view());
        } else if (record instanceof PeerMessage.AdmissionExchange admission) {
            return "admission " + bytes.formatHex(admission.message());
        } else if (record instanceof PeerMessage.RequestBatch batch) {
            return "batch "
                    + batch.requests().stream().map(GoldenPeerRecordsTest::text).toList();
        } else if (record instanceof PeerMessage.ResponseBatch batch) {
            return "answers "
                    + batch.responses().stream()
                            .map(GoldenPeerRecordsTest::text)
                            .toList();
        }
        return String.valueOf(record);
    }

    /** Who exchanges views is told only behind what is known of cancellations, which older versions read first. */
    @Test
    void namesWithoutKnowledgeAreNotWritten() {
        PeerMessage.TermAnnouncement term =
                new PeerMessage.TermAnnouncement(9, "n1", true).withLinkViewParticipants(List.of("n1"));
        assertEquals("03000000000000000900026e3101", HexFormat.of().formatHex(PeerMessageCodec.encode(term)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "", // nothing
                "00", // no kind
                "08 00000000", // a kind to come
                "01 05 0000 00000000", // a request to come
                "01 ff 0000 00000000",
                "01 00 0000 00000002 80", // cut off
                "01 00 0000 ffffffff", // a negative length
                "01 00 0000 00020001", // longer than two bodies
                "03 0000000000000009 0002 6e31", // without whether it leads
                "03 0000000000000009 0002 6e31 01 00", // knowledge that is cut off
                "03 0000000000000009 0000 00 0000000000000001 0000000000000000 00 00 07d1", // more than 2,000 jobs
                "06 0101", // more than 256 requests
                "07 0101"
            })
    void malformedRecordIsNone(String bytes) {
        assertNull(PeerMessageCodec.decode(hex(bytes)));
    }
}
