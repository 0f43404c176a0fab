package stileferry.connectivity;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.roaringbitmap.RoaringBitmap;
import stileferry.connectivity.ReachabilityView.ControllerHealth;
import stileferry.connectivity.ReachabilityView.HandoverNotice;
import stileferry.connectivity.ReachabilityView.Header;
import stileferry.connectivity.ReachabilityView.ProbeTarget;
import stileferry.connectivity.ReachabilityView.WorkerChanges;
import stileferry.validation.InvalidInputException;

/** Binary encoding of views. Bytes after the known fields are ignored, so that later versions may append fields. */
public final class ViewCodec {
    private static final byte FORMAT_VERSION = 1;

    private ViewCodec() {}

    /** Encodes a view. */
    public static byte[] write(ReachabilityView view) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORMAT_VERSION);
            writeHeader(out, view.header());
            writeHealth(out, view.senderHealth());
            writeWorkers(out, view.workers());
            out.writeInt(view.probes().size());
            for (ProbeTarget target : view.probes()) {
                out.writeUTF(target.worker());
                out.writeUTF(target.address());
            }
            writeHandover(out, view.handover());
            out.writeLong(view.acceptedHandoverId());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Decodes a view; throws {@link InvalidInputException} for malformed bytes. */
    public static ReachabilityView read(byte[] bytes) {
        InvalidInputException.require(bytes != null, "view", "missing");
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            InvalidInputException.require(in.readByte() == FORMAT_VERSION, "view", "unknown format version");
            Header header = readHeader(in);
            ControllerHealth health = readHealth(in);
            WorkerChanges workers = readWorkers(in);
            List<ProbeTarget> probes = new ArrayList<>();
            for (int remaining = readCount(in); remaining > 0; remaining--) {
                probes.add(new ProbeTarget(in.readUTF(), in.readUTF()));
            }
            return new ReachabilityView(header, health, workers, probes, readHandover(in), in.readLong());
        } catch (IOException | IndexOutOfBoundsException | NegativeArraySizeException e) {
            throw new InvalidInputException("view", "malformed: " + e);
        }
    }

    private static void writeHeader(DataOutputStream out, Header header) throws IOException {
        out.writeUTF(header.sender());
        out.writeLong(header.incarnation());
        out.writeLong(header.sequence());
        out.writeLong(header.term());
        out.writeUTF(header.leader());
        out.writeLong(header.ackedIncarnation());
        out.writeLong(header.ackedSequence());
        out.writeLong(header.ackedVersion());
        out.writeInt(header.ackedEpoch());
    }

    private static Header readHeader(DataInputStream in) throws IOException {
        return new Header(
                in.readUTF(),
                in.readLong(),
                in.readLong(),
                in.readLong(),
                in.readUTF(),
                in.readLong(),
                in.readLong(),
                in.readLong(),
                in.readInt());
    }

    private static void writeHealth(DataOutputStream out, ControllerHealth health) throws IOException {
        out.writeBoolean(health.storeReachable());
        out.writeBoolean(health.lagging());
        writeNames(out, health.reachablePeers());
    }

    private static ControllerHealth readHealth(DataInputStream in) throws IOException {
        return new ControllerHealth(in.readBoolean(), in.readBoolean(), readNames(in));
    }

    private static void writeWorkers(DataOutputStream out, WorkerChanges workers) throws IOException {
        out.writeInt(workers.epoch());
        out.writeLong(workers.baseVersion());
        out.writeLong(workers.version());
        writeNames(out, workers.names());
        workers.changed().serialize(out);
        workers.removed().serialize(out);
        workers.outboundKnown().serialize(out);
        workers.inbound().serialize(out);
        workers.outbound().serialize(out);
    }

    private static WorkerChanges readWorkers(DataInputStream in) throws IOException {
        return new WorkerChanges(
                in.readInt(),
                in.readLong(),
                in.readLong(),
                readNames(in),
                readBitmap(in),
                readBitmap(in),
                readBitmap(in),
                readBitmap(in),
                readBitmap(in));
    }

    private static RoaringBitmap readBitmap(DataInputStream in) throws IOException {
        RoaringBitmap bitmap = new RoaringBitmap();
        try {
            bitmap.deserialize(in);
        } catch (RuntimeException e) { // broad catch: malformed bytes cause several types of unchecked exceptions
            throw new IOException("malformed bitmap", e);
        }
        return bitmap;
    }

    private static void writeNames(DataOutputStream out, List<String> names) throws IOException {
        out.writeInt(names.size());
        for (String name : names) {
            out.writeUTF(name);
        }
    }

    private static List<String> readNames(DataInputStream in) throws IOException {
        List<String> names = new ArrayList<>();
        for (int remaining = readCount(in); remaining > 0; remaining--) {
            names.add(in.readUTF());
        }
        return names;
    }

    /**
     * Reads the size of a list whose elements take at least two bytes each; throws if the remaining bytes are too few.
     */
    private static int readCount(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > in.available() / 2) {
            throw new IOException("invalid length " + count);
        }
        return count;
    }

    private static void writeHandover(DataOutputStream out, HandoverNotice notice) throws IOException {
        out.writeBoolean(notice != null);
        if (notice != null) {
            out.writeLong(notice.id());
            out.writeLong(notice.term());
            out.writeUTF(notice.nominee());
            out.writeLong(notice.nomineeIncarnation());
            out.writeBoolean(notice.active());
        }
    }

    private static HandoverNotice readHandover(DataInputStream in) throws IOException {
        return in.readBoolean()
                ? new HandoverNotice(in.readLong(), in.readLong(), in.readUTF(), in.readLong(), in.readBoolean())
                : null;
    }
}
