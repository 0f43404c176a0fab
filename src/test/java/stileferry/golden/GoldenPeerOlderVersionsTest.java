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
 * What 7564325 (P1) and f7fe539 (P0) read of this version's records, and what this version reads of theirs. The readers
 * here are those of the two commits, word by word, but for their result, which is text.
 */
class GoldenPeerOlderVersionsTest {
    private static final String TERM = "0300000000000000090002" + "6e31" + "01";
    private static final String KNOWN =
            "1000000000000000" + "0000000000000005" + "01" + "00" + "0002" + "00056a6f622d31" + "00056a6f622d32";
    private static final String AWARE = "02" + "00026e31" + "00026e30";

    private static String readByOlder(String hex, boolean knowledge) {
        try (DataInputStream in =
                new DataInputStream(new ByteArrayInputStream(HexFormat.of().parseHex(hex)))) {
            switch (in.readByte()) {
                case 1:
                    return "ask " + in.readByte() + " " + in.readUTF() + " " + readBytes(in);
                case 2:
                    return "answer " + in.readShort() + " " + in.readInt() + " " + readBytes(in);
                case 3:
                    String term = "term " + in.readLong() + " " + in.readUTF() + " " + in.readBoolean();
                    return knowledge && in.available() > 0 ? term + readKnowledge(in) : term;
                default:
                    return "none";
            }
        } catch (IOException e) {
            return "none";
        }
    }

    private static String readKnowledge(DataInputStream in) throws IOException {
        String known = " " + in.readLong() + " " + in.readLong() + " " + in.readBoolean() + " " + in.readBoolean();
        for (int left = in.readUnsignedShort(); left > 0; left--) {
            known += " " + in.readUTF();
        }
        return known;
    }

    private static String readBytes(DataInputStream in) throws IOException {
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    private static String written(String kind) {
        PeerMessage.TermAnnouncement term = new PeerMessage.TermAnnouncement(
                9,
                "n1",
                true,
                new PeerMessage.CancellationKnowledge(1L << 60, 5, true, false, List.of("job-1", "job-2")));
        PeerMessage.ForwardedRequest status =
                new PeerMessage.ForwardedRequest(PeerMessage.RequestKind.STATUS, "job-7", new byte[] {1});
        PeerMessage.Response answer = new PeerMessage.Response(503, 30, new byte[] {2});
        PeerMessage record =
                switch (kind) {
                    case "forward" -> status;
                    case "answer" -> answer;
                    case "term" -> term;
                    case "term with features" -> term.withLinkViewParticipants(List.of("n1", "n0"));
                    case "links" -> new PeerMessage.LinkView(new byte[] {1});
                    case "admission" -> new PeerMessage.AdmissionExchange(new byte[] {1});
                    case "batch" -> new PeerMessage.RequestBatch(List.of(status));
                    default -> new PeerMessage.ResponseBatch(List.of(answer));
                };
        return HexFormat.of().formatHex(PeerMessageCodec.encode(record));
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
    void olderVersionsReadWhatTheyAlwaysRead(String kind, String byFirst, String byProduction) {
        assertEquals(byFirst, readByOlder(written(kind), false));
        assertEquals(byProduction, readByOlder(written(kind), true));
    }

    @ParameterizedTest
    @CsvSource({
        "f7fe539," + TERM + ",'Term[term=9, leader=n1, leading=true, knowledge=null, linkAware=[]]'",
        "7564325," + TERM + KNOWN + ",'Term[term=9, leader=n1, leading=true, "
                + "knowledge=Knowledge[process=1152921504606846976, addressee=5, informed=true, complete=false, "
                + "cancelled=[job-1, job-2]], linkAware=[]]'",
        "fcedfd7," + TERM + KNOWN + AWARE + ",'Term[term=9, leader=n1, leading=true, "
                + "knowledge=Knowledge[process=1152921504606846976, addressee=5, informed=true, complete=false, "
                + "cancelled=[job-1, job-2]], linkAware=[n1, n0]]'"
    })
    void termsOfAllVersionsAreRead(String version, String hex, String meaning) {
        PeerMessage.TermAnnouncement term = (PeerMessage.TermAnnouncement)
                PeerMessageCodec.decode(HexFormat.of().parseHex(hex));
        assertEquals(meaning, describe(term), version);
    }

    /** Written out, so that a renamed component changes nothing here. */
    private static String describe(PeerMessage.TermAnnouncement term) {
        PeerMessage.CancellationKnowledge known = term.knowledge();
        String knowledge = known == null
                ? "null"
                : "Knowledge[process=" + known.processId() + ", addressee=" + known.recipientProcessId() + ", informed="
                        + known.informed() + ", complete=" + known.complete() + ", cancelled=" + known.cancelledJobs()
                        + "]";
        return "Term[term=" + term.term() + ", leader=" + term.leader() + ", leading=" + term.senderLeads()
                + ", knowledge=" + knowledge + ", linkAware=" + term.linkViewParticipants() + "]";
    }
}
