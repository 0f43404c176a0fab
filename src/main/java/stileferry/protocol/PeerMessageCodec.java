package stileferry.protocol;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import stileferry.protocol.PeerMessage.AdmissionExchange;
import stileferry.protocol.PeerMessage.CancellationKnowledge;
import stileferry.protocol.PeerMessage.ForwardedRequest;
import stileferry.protocol.PeerMessage.LinkView;
import stileferry.protocol.PeerMessage.RequestBatch;
import stileferry.protocol.PeerMessage.RequestKind;
import stileferry.protocol.PeerMessage.Response;
import stileferry.protocol.PeerMessage.ResponseBatch;
import stileferry.protocol.PeerMessage.TermAnnouncement;

/**
 * Encodes and decodes {@link PeerMessage}s: one byte for the kind, then the fields in the format of
 * {@link DataOutputStream}. Controllers of different versions exchange messages, so new fields are added only at the
 * end.
 */
public final class PeerMessageCodec {
    private static final int FORWARDED_REQUEST = 1;
    private static final int RESPONSE = 2;
    private static final int TERM_ANNOUNCEMENT = 3;
    private static final int LINK_VIEW = 4;
    private static final int ADMISSION_EXCHANGE = 5;
    private static final int REQUEST_BATCH = 6;
    private static final int RESPONSE_BATCH = 7;

    private static final int INITIAL_BYTES = 128;
    private static final int MAX_FIELD_BYTES = 2 * MessageCodec.MAX_BODY_BYTES;

    private PeerMessageCodec() {}

    /** Encodes a message. */
    public static byte[] encode(PeerMessage message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            write(out, message);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Decodes a message; returns null if it is malformed or of an unknown kind. */
    public static PeerMessage decode(byte[] bytes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            return read(in);
        } catch (IOException e) {
            return null;
        }
    }

    private static void write(DataOutputStream out, PeerMessage message) throws IOException {
        if (message instanceof ForwardedRequest request) {
            out.writeByte(FORWARDED_REQUEST);
            writeRequest(out, request);
        } else if (message instanceof Response response) {
            out.writeByte(RESPONSE);
            writeResponse(out, response);
        } else if (message instanceof TermAnnouncement announcement) {
            out.writeByte(TERM_ANNOUNCEMENT);
            writeAnnouncement(out, announcement);
        } else if (message instanceof LinkView linkView) {
            out.writeByte(LINK_VIEW);
            writeBytes(out, linkView.view());
        } else if (message instanceof AdmissionExchange exchange) {
            out.writeByte(ADMISSION_EXCHANGE);
            writeBytes(out, exchange.message());
        } else if (message instanceof RequestBatch batch) {
            out.writeByte(REQUEST_BATCH);
            writeList(out, batch.requests(), PeerMessageCodec::writeRequest);
        } else if (message instanceof ResponseBatch batch) {
            out.writeByte(RESPONSE_BATCH);
            writeList(out, batch.responses(), PeerMessageCodec::writeResponse);
        }
    }

    private static PeerMessage read(DataInputStream in) throws IOException {
        return switch (in.readByte()) {
            case FORWARDED_REQUEST -> readRequest(in);
            case RESPONSE -> readResponse(in);
            case TERM_ANNOUNCEMENT -> readAnnouncement(in);
            case LINK_VIEW -> new LinkView(readBytes(in));
            case ADMISSION_EXCHANGE -> new AdmissionExchange(readBytes(in));
            case REQUEST_BATCH -> new RequestBatch(readList(in, PeerMessageCodec::readRequest));
            case RESPONSE_BATCH -> new ResponseBatch(readList(in, PeerMessageCodec::readResponse));
            default -> null;
        };
    }

    // ---- requests and responses

    private static void writeRequest(DataOutputStream out, ForwardedRequest request) throws IOException {
        out.writeByte(request.kind().ordinal());
        out.writeUTF(request.id());
        writeBytes(out, request.body());
    }

    private static ForwardedRequest readRequest(DataInputStream in) throws IOException {
        int kind = in.readByte();
        if (kind < 0 || kind >= RequestKind.values().length) {
            throw new IOException("unknown kind of request: " + kind);
        }
        return new ForwardedRequest(RequestKind.values()[kind], in.readUTF(), readBytes(in));
    }

    private static void writeResponse(DataOutputStream out, Response response) throws IOException {
        out.writeShort(response.status());
        out.writeInt(response.retryAfterS());
        writeBytes(out, response.body());
    }

    private static Response readResponse(DataInputStream in) throws IOException {
        return new Response(in.readShort(), in.readInt(), readBytes(in));
    }

    // ---- term announcements

    private static void writeAnnouncement(DataOutputStream out, TermAnnouncement announcement) throws IOException {
        out.writeLong(announcement.term());
        out.writeUTF(announcement.leader());
        out.writeBoolean(announcement.senderLeads());
        if (announcement.knowledge() != null) {
            writeKnowledge(out, announcement.knowledge());
            writeLinkViewParticipants(out, announcement.linkViewParticipants());
        }
    }

    private static TermAnnouncement readAnnouncement(DataInputStream in) throws IOException {
        return new TermAnnouncement(
                in.readLong(),
                in.readUTF(),
                in.readBoolean(),
                in.available() > 0 ? readKnowledge(in) : null,
                in.available() > 0 ? readLinkViewParticipants(in) : List.of());
    }

    private static void writeKnowledge(DataOutputStream out, CancellationKnowledge knowledge) throws IOException {
        out.writeLong(knowledge.processId());
        out.writeLong(knowledge.recipientProcessId());
        out.writeBoolean(knowledge.informed());
        out.writeBoolean(knowledge.complete());
        out.writeShort(knowledge.cancelledJobs().size());
        for (String id : knowledge.cancelledJobs()) {
            out.writeUTF(id);
        }
    }

    private static CancellationKnowledge readKnowledge(DataInputStream in) throws IOException {
        long processId = in.readLong();
        long recipientProcessId = in.readLong();
        boolean informed = in.readBoolean();
        boolean complete = in.readBoolean();
        List<String> cancelledJobs =
                readStrings(in, checkedSize(in.readUnsignedShort(), PeerMessage.MAX_CANCELLED_JOBS));
        return new CancellationKnowledge(processId, recipientProcessId, informed, complete, cancelledJobs);
    }

    /** Writes the last field of an announcement, which versions before its introduction ignore. */
    private static void writeLinkViewParticipants(DataOutputStream out, List<String> names) throws IOException {
        if (!names.isEmpty()) {
            out.writeByte(names.size());
            for (String name : names) {
                out.writeUTF(name);
            }
        }
    }

    private static List<String> readLinkViewParticipants(DataInputStream in) throws IOException {
        return List.copyOf(readStrings(in, in.readUnsignedByte()));
    }

    // ---- lists and byte arrays

    /** Writes one element of a list. */
    private interface ElementWriter<T> {
        void write(DataOutputStream out, T element) throws IOException;
    }

    /** Reads one element of a list. */
    private interface ElementReader<T> {
        T read(DataInputStream in) throws IOException;
    }

    private static <T> void writeList(DataOutputStream out, List<T> list, ElementWriter<T> writer) throws IOException {
        out.writeShort(list.size());
        for (T element : list) {
            writer.write(out, element);
        }
    }

    private static <T> List<T> readList(DataInputStream in, ElementReader<T> reader) throws IOException {
        int size = checkedSize(in.readUnsignedShort(), PeerMessage.MAX_BATCH_REQUESTS);
        List<T> list = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            list.add(reader.read(in));
        }
        return list;
    }

    private static List<String> readStrings(DataInputStream in, int size) throws IOException {
        List<String> list = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            list.add(in.readUTF());
        }
        return list;
    }

    private static int checkedSize(int size, int maxSize) throws IOException {
        if (size > maxSize) {
            throw new IOException("list too long: " + size + " elements, at most " + maxSize);
        }
        return size;
    }

    private static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static byte[] readBytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > MAX_FIELD_BYTES) {
            throw new IOException("field of bad length: " + length + " bytes, at most " + MAX_FIELD_BYTES);
        }
        byte[] bytes = new byte[length];
        in.readFully(bytes);
        return bytes;
    }
}
