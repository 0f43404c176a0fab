package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessageCodec;

/**
 * Checks that the versions of commits 7564325 (P1) and f7fe539 (P0) can read this version's messages, and that this
 * version can read theirs. The decoders of the older versions are copied here from the two commits word for word,
 * except that they return text.
 */
class GoldenPeerMessageCompatibilityTest {
    private static final String TERM_HEX = "0300000000000000090002" + "6e31" + "01";
    private static final String CANCELLATIONS_HEX =
            "1000000000000000" + "0000000000000005" + "01" + "00" + "0002" + "00056a6f622d31" + "00056a6f622d32";
    private static final String LINK_AWARE_HEX = "02" + "00026e31" + "00026e30";

    private static String readByOlderVersion(String hex, boolean knowledge) {
        try (DataInputStream in =
                new DataInputStream(new ByteArrayInputStream(HexFormat.of().parseHex(hex)))) {
            switch (in.readByte()) {
                case 1:
                    return "ask " + in.readByte() + " " + in.readUTF() + " " + readBytes(in);
                case 2:
                    return "answer " + in.readShort() + " " + in.readInt() + " " + readBytes(in);
                case 3:
                    String term = "term " + in.readLong() + " " + in.readUTF() + " " + in.readBoolean();
                    return knowledge && in.available() > 0 ? term + readCancellations(in) : term;
                default:
                    return "none";
            }
        } catch (IOException e) {
            return "none";
        }
    }

    private static String readCancellations(DataInputStream in) throws IOException {
        String cancellations =
                " " + in.readLong() + " " + in.readLong() + " " + in.readBoolean() + " " + in.readBoolean();
        for (int remaining = in.readUnsignedShort(); remaining > 0; remaining--) {
            cancellations += " " + in.readUTF();
        }
        return cancellations;
    }

    private static String readBytes(DataInputStream in) throws IOException {
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    private static String encode(String kind) {
        PeerMessage.TermAnnouncement term = new PeerMessage.TermAnnouncement(
                9,
                "n1",
                true,
                new PeerMessage.CancellationKnowledge(1L << 60, 5, true, false, List.of("job-1", "job-2")));
        PeerMessage.ForwardedRequest status =
                new PeerMessage.ForwardedRequest(PeerMessage.RequestKind.STATUS, "job-7", new byte[] {1});
        PeerMessage.Response response = new PeerMessage.Response(503, 30, new byte[] {2});
        PeerMessage message =
                switch (kind) {
                    case "forward" -> status;
                    case "answer" -> response;
                    case "term" -> term;
                    case "term with features" -> term.withLinkViewParticipants(List.of("n1", "n0"));
                    case "links" -> new PeerMessage.LinkView(new byte[] {1});
                    case "admission" -> new PeerMessage.AdmissionExchange(new byte[] {1});
                    case "batch" -> new PeerMessage.RequestBatch(List.of(status));
                    default -> new PeerMessage.ResponseBatch(List.of(response));
                };
        return HexFormat.of().formatHex(PeerMessageCodec.encode(message));
    }

    @ParameterizedTest
    @CsvSource({
        "forward,ask 1 job-7 01,ask 1 job-7 01",
        "answer,answer 503 30 02,answer 503 30 02",
        "term,term 9 n1 true,term 9 n1 true 1152921504606846976 5 true false job-1 job-2",
        "term with features,term 9 n1 true,term 9 n1 true 1152921504606846976 5 true false job-1 job-2",
        "links,none,none",
        "admission,none,none",
        "batch,none,none",
        "batch answer,none,none"
    })
    void olderVersionsReadCurrentMessages(String kind, String readByP0, String readByP1) {
        assertEquals(readByP0, readByOlderVersion(encode(kind), false));
        assertEquals(readByP1, readByOlderVersion(encode(kind), true));
    }

    @ParameterizedTest
    @CsvSource({
        "f7fe539," + TERM_HEX + ",'Term[term=9, leader=n1, leading=true, knowledge=null, linkAware=[]]'",
        "7564325," + TERM_HEX + CANCELLATIONS_HEX + ",'Term[term=9, leader=n1, leading=true, "
                + "knowledge=Knowledge[process=1152921504606846976, addressee=5, informed=true, complete=false, "
                + "cancelled=[job-1, job-2]], linkAware=[]]'",
        "fcedfd7," + TERM_HEX + CANCELLATIONS_HEX + LINK_AWARE_HEX + ",'Term[term=9, leader=n1, leading=true, "
                + "knowledge=Knowledge[process=1152921504606846976, addressee=5, informed=true, complete=false, "
                + "cancelled=[job-1, job-2]], linkAware=[n1, n0]]'"
    })
    void termAnnouncementsOfAllVersionsAreDecoded(String version, String hex, String expected) {
        PeerMessage.TermAnnouncement term = (PeerMessage.TermAnnouncement)
                PeerMessageCodec.decode(HexFormat.of().parseHex(hex));
        assertEquals(expected, describe(term), version);
    }

    /** Describes an announcement without its toString method, so that renamed record components change nothing here. */
    private static String describe(PeerMessage.TermAnnouncement term) {
        PeerMessage.CancellationKnowledge cancellations = term.knowledge();
        String knowledge = cancellations == null
                ? "null"
                : "Knowledge[process=" + cancellations.processId() + ", addressee=" + cancellations.recipientProcessId()
                        + ", informed="
                        + cancellations.informed() + ", complete=" + cancellations.complete() + ", cancelled="
                        + cancellations.cancelledJobs()
                        + "]";
        return "Term[term=" + term.term() + ", leader=" + term.leader() + ", leading=" + term.senderLeads()
                + ", knowledge=" + knowledge + ", linkAware=" + term.linkViewParticipants() + "]";
    }
}
