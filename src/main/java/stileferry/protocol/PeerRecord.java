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
public sealed interface PeerRecord {

    /** What a forwarded request asks. */
    enum Ask {
        SUBMIT,
        STATUS,
        WITHDRAW,
        REPORT,
        ADMIN
    }

    /** A request on its way to the leader; for {@link Ask#ADMIN} the id is the method and the rest of the path. */
    record Forward(Ask ask, String id, byte[] body) implements PeerRecord {}

    /** The leader's answer to a forwarded request. */
    record Answer(int status, int retryAfterS, byte[] body) implements PeerRecord {}

    /** The highest term its sender knows, who leads in it (empty: nobody known), and whether the sender does. */
    record Term(long term, String leader, boolean leading, Knowledge knowledge, List<String> linkAware)
            implements PeerRecord {
        /** A term whose sender does not watch its links. */
        public Term(long term, String leader, boolean leading, Knowledge knowledge) {
            this(term, leader, leading, knowledge, List.of());
        }

        /** A term of the older form, which says nothing of cancellations. */
        public Term(long term, String leader, boolean leading) {
            this(term, leader, leading, null);
        }

        /** The same with the controllers that are known to exchange views of their links, the sender first. */
        public Term with(List<String> controllers) {
            return new Term(term, leader, leading, knowledge, controllers);
        }
    }

    /**
     * A controller's view of its links, in the form that {@code stileferry.connectivity} writes, and the answer to one.
     * It is sent only to controllers that have shown, in a {@link Term}, that they exchange views.
     */
    record Links(byte[] view) implements PeerRecord {}

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
    record Knowledge(long process, long addressee, boolean informed, boolean complete, List<String> cancelled) {}

    /** Jobs that one record may name; a complete list is no longer. */
    int MOST_CANCELLED = 2000;

    /** Writes a record. */
    static byte[] write(PeerRecord record) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            if (record instanceof Forward f) {
                out.writeByte(1);
                out.writeByte(f.ask().ordinal());
                out.writeUTF(f.id());
                writeBytes(out, f.body());
            } else if (record instanceof Answer a) {
                out.writeByte(2);
                out.writeShort(a.status());
                out.writeInt(a.retryAfterS());
                writeBytes(out, a.body());
            } else if (record instanceof Term t) {
                out.writeByte(3);
                out.writeLong(t.term());
                out.writeUTF(t.leader());
                out.writeBoolean(t.leading());
                if (t.knowledge() != null) {
                    write(out, t.knowledge());
                    writeLinkAware(out, t.linkAware());
                }
            } else if (record instanceof Links l) {
                out.writeByte(4);
                writeBytes(out, l.view());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Reads a record; null when it is malformed. */
    static PeerRecord read(byte[] bytes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            switch (in.readByte()) {
                case 1: {
                    int ask = in.readByte();
                    if (ask < 0 || ask >= Ask.values().length) {
                        return null;
                    }
                    return new Forward(Ask.values()[ask], in.readUTF(), readBytes(in));
                }
                case 2:
                    return new Answer(in.readShort(), in.readInt(), readBytes(in));
                case 3:
                    return new Term(
                            in.readLong(),
                            in.readUTF(),
                            in.readBoolean(),
                            in.available() > 0 ? readKnowledge(in) : null,
                            in.available() > 0 ? readLinkAware(in) : List.of());
                case 4:
                    return new Links(readBytes(in));
                default:
                    return null;
            }
        } catch (IOException e) {
            return null;
        }
    }

    private static void write(DataOutputStream out, Knowledge k) throws IOException {
        out.writeLong(k.process());
        out.writeLong(k.addressee());
        out.writeBoolean(k.informed());
        out.writeBoolean(k.complete());
        out.writeShort(k.cancelled().size());
        for (String id : k.cancelled()) {
            out.writeUTF(id);
        }
    }

    private static Knowledge readKnowledge(DataInputStream in) throws IOException {
        long process = in.readLong();
        long addressee = in.readLong();
        boolean informed = in.readBoolean();
        boolean complete = in.readBoolean();
        int count = in.readUnsignedShort();
        if (count > MOST_CANCELLED) {
            throw new IOException("bad length");
        }
        List<String> cancelled = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            cancelled.add(in.readUTF());
        }
        return new Knowledge(process, addressee, informed, complete, cancelled);
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
