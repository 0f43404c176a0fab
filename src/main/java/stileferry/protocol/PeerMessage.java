package stileferry.protocol;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** What controllers send one another, as {@link DataOutputStream} records. */
public sealed interface PeerMessage {

    /** What a forwarded request asks. It travels by its ordinal, so new kinds go to the end. */
    enum RequestKind {
        SUBMIT("submit"),
        STATUS("status"),
        CANCEL("withdraw"),
        HEARTBEAT("report"),
        ADMINISTRATION("admin");

        private final String wireName;

        RequestKind(String wireName) {
            this.wireName = wireName;
        }

        /** The word that stands for it in the administration API. */
        public String wireName() {
            return wireName;
        }
    }

    /**
     * A request forwarded to the leader; for {@link RequestKind#ADMINISTRATION} the id is the method and the rest of
     * the path.
     */
    record ForwardedRequest(RequestKind kind, String id, byte[] body) implements PeerMessage {}

    /** The leader's answer to a forwarded request. */
    record Response(int status, int retryAfterS, byte[] body) implements PeerMessage {}

    /** The highest term its sender knows, who leads in it (empty: nobody known), and whether the sender does. */
    record TermAnnouncement(
            long term, String leader, boolean leading, CancellationKnowledge knowledge, List<String> linkAware)
            implements PeerMessage {
        /** A term whose sender does not watch its links. */
        public TermAnnouncement(long term, String leader, boolean leading, CancellationKnowledge knowledge) {
            this(term, leader, leading, knowledge, List.of());
        }

        /** A term of the older form, which says nothing of cancellations. */
        public TermAnnouncement(long term, String leader, boolean leading) {
            this(term, leader, leading, null);
        }

        /** The same with the controllers that are known to exchange views of their links, the sender first. */
        public TermAnnouncement with(List<String> controllers) {
            return new TermAnnouncement(term, leader, leading, knowledge, controllers);
        }
    }

    /**
     * A controller's view of its links, in the form that {@code stileferry.connectivity} writes, and the answer to one.
     * It is sent only to controllers that have shown, in a {@link TermAnnouncement}, that they exchange views.
     */
    record LinkView(byte[] view) implements PeerMessage {}

    /**
     * A controller's demand for admissions on its way to the leader, and the leader's table of turns in answer, in the
     * forms that {@code stileferry.admission} writes. A controller that does not take part answers with something else.
     */
    record AdmissionExchange(byte[] message) implements PeerMessage {}

    /**
     * Requests forwarded to the leader together. Sent only to a leader that has answered {@link AdmissionExchange}.
     */
    record RequestBatch(List<ForwardedRequest> requests) implements PeerMessage {
        /** Copies the list. */
        public RequestBatch {
            requests = List.copyOf(requests);
        }
    }

    /** The leader's answers to a batch, in its order. */
    record ResponseBatch(List<Response> answers) implements PeerMessage {
        /** Copies the list. */
        public ResponseBatch {
            answers = List.copyOf(answers);
        }
    }

    /** Requests that one batch may hold. */
    int MAX_BATCH_REQUESTS = 256;

    /**
     * What the sender of a term knows of cancelled jobs. Controllers of version 0.1 neither write this nor read it: it
     * stands behind all that they know.
     *
     * @param process tells the sender's process from its former lives
     * @param addressee the process that the sender takes the receiver for; 0: not known
     * @param informed whether the sender counts as informed, see {@code Cancellations}
     * @param complete whether the sender leads for sure and names every cancellation that may have been confirmed
     * @param cancelled the jobs
     */
    record CancellationKnowledge(
            long process, long addressee, boolean informed, boolean complete, List<String> cancelled) {}

    /** Jobs that one record may name; a complete list is no longer. */
    int MAX_CANCELLED_JOBS = 2000;

    /** Writes a record. */
    static byte[] write(PeerMessage record) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            if (record instanceof ForwardedRequest f) {
                out.writeByte(1);
                writeForward(out, f);
            } else if (record instanceof Response response) {
                out.writeByte(2);
                writeAnswer(out, response);
            } else if (record instanceof TermAnnouncement announcement) {
                out.writeByte(3);
                writeTerm(out, announcement);
            } else if (record instanceof LinkView linkView) {
                out.writeByte(4);
                writeBytes(out, linkView.view());
            } else if (record instanceof AdmissionExchange exchange) {
                out.writeByte(5);
                writeBytes(out, exchange.message());
            } else if (record instanceof RequestBatch batch) {
                out.writeByte(6);
                out.writeShort(batch.requests().size());
                for (ForwardedRequest request : batch.requests()) {
                    writeForward(out, request);
                }
            } else if (record instanceof ResponseBatch b) {
                out.writeByte(7);
                out.writeShort(b.answers().size());
                for (Response answer : b.answers()) {
                    writeAnswer(out, answer);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Reads a record; null when it is malformed. */
    static PeerMessage read(byte[] bytes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            switch (in.readByte()) {
                case 1:
                    return readForward(in);
                case 2:
                    return readAnswer(in);
                case 3:
                    return new TermAnnouncement(
                            in.readLong(),
                            in.readUTF(),
                            in.readBoolean(),
                            in.available() > 0 ? readKnowledge(in) : null,
                            in.available() > 0 ? readLinkAware(in) : List.of());
                case 4:
                    return new LinkView(readBytes(in));
                case 5:
                    return new AdmissionExchange(readBytes(in));
                case 6:
                    return new RequestBatch(readList(in, PeerMessage::readForward));
                case 7:
                    return new ResponseBatch(readList(in, PeerMessage::readAnswer));
                default:
                    return null;
            }
        } catch (IOException e) {
            return null;
        }
    }

    /** Reads one part of a record. */
    interface PartReader<T> {
        /** Reads it; throws if it is malformed. */
        T read(DataInputStream in) throws IOException;
    }

    private static <T> List<T> readList(DataInputStream in, PartReader<T> reader) throws IOException {
        int size = in.readUnsignedShort();
        if (size > MAX_BATCH_REQUESTS) {
            throw new IOException("bad length");
        }
        List<T> list = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            list.add(reader.read(in));
        }
        return list;
    }

    private static void writeForward(DataOutputStream out, ForwardedRequest forward) throws IOException {
        out.writeByte(forward.kind().ordinal());
        out.writeUTF(forward.id());
        writeBytes(out, forward.body());
    }

    private static ForwardedRequest readForward(DataInputStream in) throws IOException {
        int ask = in.readByte();
        if (ask < 0 || ask >= RequestKind.values().length) {
            throw new IOException("no such request");
        }
        return new ForwardedRequest(RequestKind.values()[ask], in.readUTF(), readBytes(in));
    }

    private static void writeTerm(DataOutputStream out, TermAnnouncement term) throws IOException {
        out.writeLong(term.term());
        out.writeUTF(term.leader());
        out.writeBoolean(term.leading());
        if (term.knowledge() != null) {
            write(out, term.knowledge());
            writeLinkAware(out, term.linkAware());
        }
    }

    private static void writeAnswer(DataOutputStream out, Response answer) throws IOException {
        out.writeShort(answer.status());
        out.writeInt(answer.retryAfterS());
        writeBytes(out, answer.body());
    }

    private static Response readAnswer(DataInputStream in) throws IOException {
        return new Response(in.readShort(), in.readInt(), readBytes(in));
    }

    private static void write(DataOutputStream out, CancellationKnowledge knowledge) throws IOException {
        out.writeLong(knowledge.process());
        out.writeLong(knowledge.addressee());
        out.writeBoolean(knowledge.informed());
        out.writeBoolean(knowledge.complete());
        out.writeShort(knowledge.cancelled().size());
        for (String id : knowledge.cancelled()) {
            out.writeUTF(id);
        }
    }

    private static CancellationKnowledge readKnowledge(DataInputStream in) throws IOException {
        long process = in.readLong();
        long addressee = in.readLong();
        boolean informed = in.readBoolean();
        boolean complete = in.readBoolean();
        int count = in.readUnsignedShort();
        if (count > MAX_CANCELLED_JOBS) {
            throw new IOException("bad length");
        }
        List<String> cancelled = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            cancelled.add(in.readUTF());
        }
        return new CancellationKnowledge(process, addressee, informed, complete, cancelled);
    }

    /** Versions before this one do not look at what stands here. */
    private static void writeLinkAware(DataOutputStream out, List<String> names) throws IOException {
        if (!names.isEmpty()) {
            out.writeByte(names.size());
            for (String name : names) {
                out.writeUTF(name);
            }
        }
    }

    private static List<String> readLinkAware(DataInputStream in) throws IOException {
        List<String> names = new ArrayList<>();
        for (int n = in.readUnsignedByte(); n > 0; n--) {
            names.add(in.readUTF());
        }
        return List.copyOf(names);
    }

    private static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static byte[] readBytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > 2 * MessageCodec.MAX_BODY) {
            throw new IOException("bad length");
        }
        byte[] bytes = new byte[length];
        in.readFully(bytes);
        return bytes;
    }
}
