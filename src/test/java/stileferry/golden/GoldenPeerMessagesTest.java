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

/** Pins the encoding and decoding of every kind of message between controllers, byte for byte. */
class GoldenPeerMessagesTest {
    private static final PeerMessage.CancellationKnowledge CANCELLATIONS =
            new PeerMessage.CancellationKnowledge(1L << 60, 5, true, false, List.of("job-1", "job-2"));

    private static byte[] fromHex(String hex) {
        return HexFormat.of().parseHex(hex.replace(" ", ""));
    }

    private static Stream<Arguments> kinds() {
        return Stream.of(requestsAndResponses(), termAnnouncements(), messagesOfOptionalFeatures())
                .flatMap(kinds -> kinds);
    }

    private static Stream<Arguments> requestsAndResponses() {
        return Stream.of(
                Arguments.of(
                        "submission",
                        new PeerMessage.ForwardedRequest(RequestKind.SUBMIT, "", fromHex("80")),
                        "01 00 0000 00000001 80"),
                Arguments.of(
                        "status",
                        new PeerMessage.ForwardedRequest(RequestKind.STATUS, "job-7", new byte[0]),
                        "01 01 0005 6a6f622d37 00000000"),
                Arguments.of(
                        "cancellation",
                        new PeerMessage.ForwardedRequest(RequestKind.CANCEL, "job-7", fromHex("c102")),
                        "01 02 0005 6a6f622d37 00000002 c102"),
                Arguments.of(
                        "heartbeat",
                        new PeerMessage.ForwardedRequest(RequestKind.HEARTBEAT, "host-1", fromHex("80")),
                        "01 03 0006 686f73742d31 00000001 80"),
                Arguments.of(
                        "operator",
                        new PeerMessage.ForwardedRequest(RequestKind.ADMINISTRATION, "GET teams", new byte[0]),
                        "01 04 0009 474554207465616d73 00000000"),
                Arguments.of(
                        "answer",
                        new PeerMessage.Response(503, 30, fromHex("81a0c0")),
                        "02 01f7 0000001e 00000003 81a0c0"));
    }

    private static Stream<Arguments> termAnnouncements() {
        return Stream.of(
                Arguments.of(
                        "term announcement of the oldest form",
                        new PeerMessage.TermAnnouncement(9, "n1", true),
                        "03 0000000000000009 0002 6e31 01"),
                Arguments.of(
                        "term announcement without a known leader",
                        new PeerMessage.TermAnnouncement(9, "", false),
                        "03 0000000000000009 0000 00"),
                Arguments.of(
                        "term announcement with cancellations",
                        new PeerMessage.TermAnnouncement(9, "n1", true, CANCELLATIONS),
                        "03 0000000000000009 0002 6e31 01 1000000000000000 0000000000000005 01 00"
                                + " 0002 0005 6a6f622d31 0005 6a6f622d32"),
                Arguments.of(
                        "term announcement with the controllers that exchange views",
                        new PeerMessage.TermAnnouncement(9, "n1", true, CANCELLATIONS)
                                .withLinkViewParticipants(List.of("n1", "n0")),
                        "03 0000000000000009 0002 6e31 01 1000000000000000 0000000000000005 01 00"
                                + " 0002 0005 6a6f622d31 0005 6a6f622d32 02 0002 6e31 0002 6e30"));
    }

    private static Stream<Arguments> messagesOfOptionalFeatures() {
        return Stream.of(
                Arguments.of("link view", new PeerMessage.LinkView(fromHex("010203")), "04 00000003 010203"),
                Arguments.of(
                        "demand report or admission windows",
                        new PeerMessage.AdmissionExchange(fromHex("0102")),
                        "05 00000002 0102"),
                Arguments.of(
                        "batch",
                        new PeerMessage.RequestBatch(List.of(
                                new PeerMessage.ForwardedRequest(RequestKind.STATUS, "job-7", new byte[0]),
                                new PeerMessage.ForwardedRequest(RequestKind.SUBMIT, "", fromHex("80")))),
                        "06 0002 01 0005 6a6f622d37 00000000 00 0000 00000001 80"),
                Arguments.of(
                        "responses to a batch",
                        new PeerMessage.ResponseBatch(List.of(
                                new PeerMessage.Response(200, 0, fromHex("80")),
                                new PeerMessage.Response(503, 1, new byte[0]))),
                        "07 0002 00c8 00000000 00000001 80 01f7 00000001 00000000"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void messageIsEncodedByteForByte(String name, PeerMessage message, String golden) {
        assertEquals(golden.replace(" ", ""), HexFormat.of().formatHex(PeerMessageCodec.encode(message)));
    }

    /** Compares descriptions because records compare their array components by identity. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("kinds")
    void messageIsDecodedFromItsBytes(String name, PeerMessage message, String golden) {
        assertEquals(describe(message), describe(PeerMessageCodec.decode(fromHex(golden))));
    }

    private static String describe(PeerMessage message) {
        HexFormat bytes = HexFormat.of();
        if (message instanceof PeerMessage.ForwardedRequest request) {
            return request.kind() + " " + request.id() + " " + bytes.formatHex(request.body());
        } else if (message instanceof PeerMessage.Response response) {
            return response.status() + " " + response.retryAfterS() + " " + bytes.formatHex(response.body());
        } else if (message instanceof PeerMessage.LinkView linkView) {
            return "links " + bytes.formatHex(linkView.view());
        } else if (message instanceof PeerMessage.AdmissionExchange exchange) {
            return "admission " + bytes.formatHex(exchange.message());
        } else if (message instanceof PeerMessage.RequestBatch batch) {
            return "batch "
                    + batch.requests().stream()
                            .map(GoldenPeerMessagesTest::describe)
                            .toList();
        } else if (message instanceof PeerMessage.ResponseBatch batch) {
            return "answers "
                    + batch.responses().stream()
                            .map(GoldenPeerMessagesTest::describe)
                            .toList();
        }
        return String.valueOf(message);
    }

    /**
     * The controllers that exchange views are encoded after the cancellations, because older versions read only up to
     * the cancellations. Therefore the controllers can't be encoded without the cancellations.
     */
    @Test
    void linkAwareControllersAreNotEncodedWithoutCancellations() {
        PeerMessage.TermAnnouncement term =
                new PeerMessage.TermAnnouncement(9, "n1", true).withLinkViewParticipants(List.of("n1"));
        assertEquals("03000000000000000900026e3101", HexFormat.of().formatHex(PeerMessageCodec.encode(term)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "", // empty
                "00", // kind 0 does not exist
                "08 00000000", // a kind that only a later version may know
                "01 05 0000 00000000", // a request kind that only a later version may know
                "01 ff 0000 00000000",
                "01 00 0000 00000002 80", // truncated
                "01 00 0000 ffffffff", // a negative length
                "01 00 0000 00020001", // longer than two bodies of the maximum size
                "03 0000000000000009 0002 6e31", // without the flag that the sender leads
                "03 0000000000000009 0002 6e31 01 00", // truncated cancellations
                "03 0000000000000009 0000 00 0000000000000001 0000000000000000 00 00 07d1", // more than 2,000 jobs
                "06 0101", // more than 256 requests
                "07 0101"
            })
    void malformedMessageDecodesToNull(String bytes) {
        assertNull(PeerMessageCodec.decode(fromHex(bytes)));
    }
}
