package stileferry.admission;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.apache.datasketches.common.SketchesException;
import org.apache.datasketches.memory.Memory;
import org.apache.datasketches.theta.CompactSketch;
import stileferry.validation.InvalidInputException;

/**
 * Encodes and decodes the admission messages that controllers exchange, as {@link DataOutputStream} records that begin
 * with a version byte. Decoding throws {@link InvalidInputException} for malformed bytes.
 */
public final class AdmissionCodec {
    private static final int VERSION = 1;

    /** Half of the maximum size of a message between controllers. */
    private static final int MAX_DEMAND_REPORT_BYTES = 64 * 1024;

    /** The most bytes that {@link DataOutputStream#writeUTF} writes for a character. */
    private static final int MAX_CHARACTER_BYTES = 3;

    /** Upper bound on the bytes of an entry's length fields and priority tier. */
    private static final int ENTRY_OVERHEAD_BYTES = 8;

    private AdmissionCodec() {}

    /** Writes the body of a record. */
    private interface BodyWriter {
        void write(DataOutputStream out) throws IOException;
    }

    /** Reads the body of a record. */
    private interface BodyReader<T> {
        T read(DataInputStream in) throws IOException;
    }

    private static byte[] encode(BodyWriter body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(VERSION);
            body.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static <T> T decode(byte[] bytes, String argument, BodyReader<T> body) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            int version = in.readUnsignedByte();
            InvalidInputException.require(version == VERSION, argument, "unsupported version " + version);
            T value = body.read(in);
            InvalidInputException.require(in.available() == 0, argument, "has trailing bytes");
            return value;
        } catch (IOException | SketchesException | IndexOutOfBoundsException e) {
            throw new InvalidInputException(argument, "malformed: " + e.getMessage());
        }
    }

    /** Encodes a demand report; flows beyond the size limit are omitted, the least urgent first. */
    public static byte[] encode(DemandReport report) {
        return encode(out -> {
            SortedMap<Flow, byte[]> sketches = sketchesThatFit(report);
            out.writeShort(sketches.size());
            for (Map.Entry<Flow, byte[]> entry : sketches.entrySet()) {
                writeFlow(out, entry.getKey());
                out.writeShort(entry.getValue().length);
                out.write(entry.getValue());
            }
        });
    }

    private static SortedMap<Flow, byte[]> sketchesThatFit(DemandReport report) {
        SortedMap<Flow, byte[]> fitting = new TreeMap<>();
        int size = 0;
        for (Map.Entry<Flow, CompactSketch> entry : report.sketches().entrySet()) {
            byte[] sketch = entry.getValue().toByteArray();
            size += sketch.length + maxFlowBytes(entry.getKey());
            if (size > MAX_DEMAND_REPORT_BYTES) {
                break;
            }
            fitting.put(entry.getKey(), sketch);
        }
        return fitting;
    }

    private static int maxFlowBytes(Flow flow) {
        int characters = flow.team().length() + flow.jobClass().length();
        return MAX_CHARACTER_BYTES * characters + ENTRY_OVERHEAD_BYTES;
    }

    /** Decodes a demand report; throws {@link InvalidInputException} if it is malformed. */
    public static DemandReport decodeDemand(byte[] bytes) {
        return decode(bytes, "demand", in -> {
            SortedMap<Flow, CompactSketch> sketches = new TreeMap<>();
            for (int remaining = in.readUnsignedShort(); remaining > 0; remaining--) {
                Flow flow = readFlow(in);
                byte[] sketch = new byte[in.readUnsignedShort()];
                in.readFully(sketch);
                sketches.put(flow, CompactSketch.heapify(Memory.wrap(sketch)));
            }
            return new DemandReport(sketches);
        });
    }

    /** Encodes a table of admission windows; unlike a demand report, it is never truncated to a size limit. */
    public static byte[] encode(AdmissionWindowTable table) {
        return encode(out -> {
            out.writeLong(table.term());
            out.writeLong(table.sequence());
            out.writeShort(table.windows().size());
            for (Map.Entry<Flow, AdmissionWindow> entry : table.windows().entrySet()) {
                writeFlow(out, entry.getKey());
                out.writeDouble(entry.getValue().position());
                out.writeDouble(entry.getValue().roundsPerS());
            }
        });
    }

    /** Decodes a table of admission windows; throws {@link InvalidInputException} if it is malformed. */
    public static AdmissionWindowTable decodeTable(byte[] bytes) {
        return decode(bytes, "table", in -> {
            long term = in.readLong();
            long sequence = in.readLong();
            SortedMap<Flow, AdmissionWindow> windows = new TreeMap<>();
            for (int remaining = in.readUnsignedShort(); remaining > 0; remaining--) {
                windows.put(readFlow(in), new AdmissionWindow(in.readDouble(), in.readDouble()));
            }
            return new AdmissionWindowTable(term, sequence, windows);
        });
    }

    private static void writeFlow(DataOutputStream out, Flow flow) throws IOException {
        out.writeUTF(flow.team());
        out.writeUTF(flow.jobClass());
        out.writeByte(flow.priorityTier());
    }

    private static Flow readFlow(DataInputStream in) throws IOException {
        return new Flow(in.readUTF(), in.readUTF(), in.readUnsignedByte());
    }
}
