package stileferry.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Messages and records are read as they were written, and nothing malformed gets through. */
class MessagesTest {
    private static ObjectNode good() {
        return new JobSpec(
                        "job-000412",
                        "train",
                        "vision",
                        JobSpec.Kind.ARRAY,
                        JobSpec.Priority.URGENT,
                        16,
                        8,
                        1,
                        64,
                        "img-07",
                        6.2,
                        List.of("g8"),
                        null,
                        true,
                        false,
                        true,
                        240,
                        30,
                        4,
                        900)
                .write();
    }

    @Test
    void aJobIsReadAsItWasWritten() throws InvalidJobSpecException {
        JobSpec read = JobSpec.read(MessageCodec.decode(MessageCodec.encode(good())));
        assertEquals(good(), read.write());
        ObjectNode open = good();
        open.putNull("hulls").putNull("moor_by_s").put("another", 1);
        assertEquals(-1, JobSpec.read(open).deadlineS());
        assertNull(JobSpec.read(open).machineTypes());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "name_id",
                "berth",
                "crew",
                "craft",
                "precedence",
                "passengers",
                "cores",
                "gpus",
                "ram_gb",
                "cargo",
                "pull_gb",
                "same_place",
                "apart",
                "tender",
                "crossing_s",
                "waypoint_s",
                "stow_s"
            })
    void aMissingOrMistypedFieldIsMalformed(String field) {
        ObjectNode missing = good();
        missing.remove(field);
        assertThrows(InvalidJobSpecException.class, () -> JobSpec.read(missing));
        ObjectNode list = good();
        list.putArray(field);
        assertThrows(InvalidJobSpecException.class, () -> JobSpec.read(list));
    }

    @Test
    void nonsenseIsMalformed() {
        assertMalformed(good().put("cores", Double.NaN));
        assertMalformed(good().put("ram_gb", -1));
        assertMalformed(good().put("gpus", Double.POSITIVE_INFINITY));
        assertMalformed(good().put("passengers", 0));
        assertMalformed(good().put("passengers", 100_001));
        assertMalformed(good().put("passengers", 2.5));
        assertMalformed(good().put("name_id", "job-4x"));
        assertMalformed(good().put("name_id", "../a/lead"));
        assertMalformed(good().put("craft", "boat"));
        assertMalformed(good().put("precedence", "soon"));
        assertMalformed(good().put("hulls", "g8"));
        assertMalformed(good().put("moor_by_s", "late"));
    }

    private static void assertMalformed(ObjectNode body) {
        assertThrows(InvalidJobSpecException.class, () -> JobSpec.read(body), body::toString);
    }

    /** Anything may arrive from the network; nothing of it may throw. */
    @Test
    void noiseIsRefusedQuietly() {
        SplittableRandom random = new SplittableRandom(4);
        byte[] report = MessageCodec.encode(MessageCodec.map()
                .put("vessel", "v")
                .put("voyage", 1)
                .put("log_seq", 1)
                .put("helm", 1));
        byte[] record = PeerMessageCodec.encode(
                new PeerMessage.ForwardedRequest(PeerMessage.RequestKind.SUBMIT, "job-1", report));
        int refused = 0;
        for (int i = 0; i < 5000; i++) {
            byte[] bytes = (random.nextBoolean() ? report : record).clone();
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            byte[] cut = Arrays.copyOf(bytes, random.nextInt(bytes.length + 1));
            refused += Heartbeat.read(MessageCodec.decode(cut)) == null && PeerMessageCodec.decode(cut) == null ? 1 : 0;
        }
        assertEquals(true, refused > 2500, "too much noise was understood: " + refused);
    }

    @Test
    void recordsBetweenControllersAreReadAsWritten() {
        PeerMessage.ForwardedRequest request =
                new PeerMessage.ForwardedRequest(PeerMessage.RequestKind.CANCEL, "job-7", new byte[] {1, 2});
        PeerMessage.ForwardedRequest back =
                (PeerMessage.ForwardedRequest) PeerMessageCodec.decode(PeerMessageCodec.encode(request));
        assertEquals(request.kind(), back.kind());
        assertEquals(request.id(), back.id());
        assertArrayEquals(request.body(), back.body());
        PeerMessage.TermAnnouncement announcement = new PeerMessage.TermAnnouncement(9, "n1", true);
        assertEquals(announcement, PeerMessageCodec.decode(PeerMessageCodec.encode(announcement)));
        PeerMessage.TermAnnouncement told = new PeerMessage.TermAnnouncement(
                9,
                "n1",
                true,
                new PeerMessage.CancellationKnowledge(1L << 60, 5, true, false, List.of("job-1", "job-2")));
        assertEquals(told, PeerMessageCodec.decode(PeerMessageCodec.encode(told)));
        PeerMessage.Response response = (PeerMessage.Response)
                PeerMessageCodec.decode(PeerMessageCodec.encode(new PeerMessage.Response(503, 30, new byte[0])));
        assertEquals(503, response.status());
        assertEquals(30, response.retryAfterS());
    }

    /**
     * The first version with gangs, f7fe539, writes a term as type 3, the term, the leader's
     * name and whether its sender leads, and reads just these; what follows it never looks at.
     */
    @Test
    void termsAreReadAcrossVersions() {
        byte[] old = HexFormat.of().parseHex("03" + "0000000000000009" + "0002" + "6e31" + "01");
        assertEquals(new PeerMessage.TermAnnouncement(9, "n1", true), PeerMessageCodec.decode(old));
        byte[] now = PeerMessageCodec.encode(new PeerMessage.TermAnnouncement(
                9, "n1", true, new PeerMessage.CancellationKnowledge(1, 2, true, true, List.of("job-1"))));
        assertArrayEquals(old, Arrays.copyOf(now, old.length), "what the older version reads comes first, unchanged");
        assertArrayEquals(old, PeerMessageCodec.encode(new PeerMessage.TermAnnouncement(9, "n1", true)));
    }

    private static byte[] report(long seq, String state, boolean tasksLast) {
        ObjectNode n = MessageCodec.map().put("vessel", "m").put("voyage", 1).put("helm", 3);
        if (tasksLast) {
            n.put("log_seq", seq);
        }
        n.putArray("passengers")
                .addObject()
                .put("passenger", "job-1/0")
                .put("launch", 7)
                .put("tide", state);
        return MessageCodec.encode(tasksLast ? n : n.put("log_seq", seq));
    }

    /** Reading the same tasks again was a good part of what a leader of many machines did. */
    @Test
    void anUnchangedListOfTasksIsNotReadAgain() {
        Heartbeat first = Heartbeat.read(report(1, "running", true));
        Heartbeat second = Heartbeat.read(report(2, "running", true), machine -> first);
        assertSame(first.tasks(), second.tasks());
        assertEquals(2, second.sequence());
        Heartbeat changed = Heartbeat.read(report(3, "saving", true), machine -> second);
        assertEquals(
                Heartbeat.TaskPhase.SAVING_CHECKPOINT, changed.tasks().get(0).phase());
        Heartbeat unknown = Heartbeat.read(report(4, "saving", true), machine -> null);
        assertEquals(changed.tasks(), unknown.tasks());
        Heartbeat otherOrder = Heartbeat.read(report(5, "saving", false), machine -> changed);
        assertEquals(changed.tasks(), otherOrder.tasks());
        assertEquals(5, otherOrder.sequence(), "fields after the list are read");
        byte[] cut = report(6, "saving", true);
        assertNull(Heartbeat.read(Arrays.copyOf(cut, cut.length - 1), machine -> changed));
    }

    /** A body nested without end would exhaust the stack of the one thread. */
    @Test
    void whatIsNestedTooDeepIsMalformed() {
        byte[] deep = new byte[MessageCodec.MAX_BODY];
        Arrays.fill(deep, (byte) 0x91);
        assertNull(MessageCodec.decode(deep));
        assertNull(Heartbeat.read(deep));
    }
}
