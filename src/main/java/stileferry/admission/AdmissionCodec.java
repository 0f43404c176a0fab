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
 * What controllers exchange about admission, as {@link DataOutputStream} records that begin with a version. A report of
 * demand is bounded: flows that no longer fit are left out, the least urgent first.
 */
public final class AdmissionCodec {
    private static final int VERSION = 1;

    /** The most bytes of one report: half of what a message between controllers may hold. */
    static final int MOST_BYTES = 64 * 1024;

    private AdmissionCodec() {}

    /** Writes part of a record. */
    private interface Part {
        void write(DataOutputStream out) throws IOException;
    }

    /** Reads part of a record. */
    private interface Reader<T> {
        T read(DataInputStream in) throws IOException;
    }

    private static byte[] bytes(Part part) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(VERSION);
            part.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static <T> T parse(byte[] bytes, String argument, Reader<T> reader) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            int version = in.readUnsignedByte();
            InvalidInputException.require(version == VERSION, argument, "of version " + version);
            T read = reader.read(in);
            InvalidInputException.require(in.available() == 0, argument, "goes on after its end");
            return read;
        } catch (IOException | SketchesException | IndexOutOfBoundsException e) {
            throw new InvalidInputException(argument, "malformed: " + e.getMessage());
        }
    }

    /** Writes a report of demand. */
    public static byte[] encode(DemandReport report) {
        return bytes(out -> {
            SortedMap<Flow, byte[]> parts = fitting(report);
            out.writeShort(parts.size());
            for (Map.Entry<Flow, byte[]> part : parts.entrySet()) {
                encode(out, part.getKey());
                out.writeShort(part.getValue().length);
                out.write(part.getValue());
            }
        });
    }

    private static SortedMap<Flow, byte[]> fitting(DemandReport report) {
        SortedMap<Flow, byte[]> parts = new TreeMap<>();
        int size = 0;
        for (Map.Entry<Flow, CompactSketch> entry : report.sketches().entrySet()) {
            byte[] sketch = entry.getValue().toByteArray();
            Flow flow = entry.getKey();
            size += sketch.length + 3 * (flow.team().length() + flow.jobClass().length()) + 8;
            if (size > MOST_BYTES) {
                break;
            }
            parts.put(flow, sketch);
        }
        return parts;
    }

    /** Reads a report of demand. */
    public static DemandReport decodeDemand(byte[] bytes) {
        return parse(bytes, "demand", in -> {
            SortedMap<Flow, CompactSketch> sketches = new TreeMap<>();
            for (int left = in.readUnsignedShort(); left > 0; left--) {
                Flow flow = readFlow(in);
                byte[] sketch = new byte[in.readUnsignedShort()];
                in.readFully(sketch);
                sketches.put(flow, CompactSketch.heapify(Memory.wrap(sketch)));
            }
            return new DemandReport(sketches);
        });
    }

    /** Writes a table of turns. */
    public static byte[] encode(AdmissionWindowTable table) {
        return bytes(out -> {
            out.writeLong(table.term());
            out.writeLong(table.sequence());
            out.writeShort(table.windows().size());
            for (Map.Entry<Flow, AdmissionWindow> turn : table.windows().entrySet()) {
                encode(out, turn.getKey());
                out.writeDouble(turn.getValue().position());
                out.writeDouble(turn.getValue().roundsPerS());
            }
        });
    }

    /** Reads a table of turns. */
    public static AdmissionWindowTable decodeTable(byte[] bytes) {
        return parse(bytes, "table", in -> {
            long term = in.readLong();
            long sequence = in.readLong();
            SortedMap<Flow, AdmissionWindow> turns = new TreeMap<>();
            for (int left = in.readUnsignedShort(); left > 0; left--) {
                turns.put(readFlow(in), new AdmissionWindow(in.readDouble(), in.readDouble()));
            }
            return new AdmissionWindowTable(term, sequence, turns);
        });
    }

    private static void encode(DataOutputStream out, Flow flow) throws IOException {
        out.writeUTF(flow.team());
        out.writeUTF(flow.jobClass());
        out.writeByte(flow.priorityTier());
    }

    private static Flow readFlow(DataInputStream in) throws IOException {
        return new Flow(in.readUTF(), in.readUTF(), in.readUnsignedByte());
    }
}
