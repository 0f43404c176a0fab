package stileferry.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import stileferry.protocol.Heartbeat.TaskPhase;
import stileferry.protocol.Heartbeat.TaskStatus;

/** Parses one heartbeat in streaming mode, without building a tree, as hundreds of them arrive every second. */
final class HeartbeatReader {
    private static final byte[] NO_BODY = new byte[0];

    /** Stands for a number that is missing or malformed. */
    private static final long MISSING = -1;

    private final JsonParser parser;
    private final byte[] body;
    private final Function<String, Heartbeat> lastHeartbeatOf;

    private String machine;
    private String address = "";
    private String machineType = "";
    private String zone = "";
    private boolean spot;
    private long incarnation = MISSING;
    private long sequence = MISSING;
    private long fencingToken = MISSING;
    private double reclaimNoticeS = MISSING;
    private List<TaskStatus> tasks = List.of();
    private byte[] encodedTasks;

    private HeartbeatReader(JsonParser parser, byte[] body, Function<String, Heartbeat> lastHeartbeatOf) {
        this.parser = parser;
        this.body = body;
        this.lastHeartbeatOf = lastHeartbeatOf;
    }

    static Heartbeat read(byte[] body, Function<String, Heartbeat> lastHeartbeatOf) {
        try (JsonParser parser = MessageCodec.parser(body)) {
            boolean isMap = parser.nextToken() == JsonToken.START_OBJECT;
            return isMap ? new HeartbeatReader(parser, body, lastHeartbeatOf).read() : null;
        } catch (IOException | RuntimeException e) { // broad catch: the parser throws both for malformed input
            return null;
        }
    }

    static Heartbeat read(JsonNode node) {
        if (node == null || !node.isObject()) {
            return null;
        }
        try (JsonParser parser = node.traverse()) {
            parser.nextToken();
            return new HeartbeatReader(parser, NO_BODY, machine -> null).read();
        } catch (IOException | RuntimeException e) { // broad catch: the parser throws both for malformed input
            return null;
        }
    }

    private Heartbeat read() throws IOException {
        boolean complete = readFields();
        if (!complete || machine == null || incarnation < 0 || sequence < 0 || fencingToken < 0) {
            return null;
        }
        return new Heartbeat(
                machine,
                address,
                machineType,
                zone,
                spot,
                incarnation,
                sequence,
                fencingToken,
                reclaimNoticeS,
                tasks,
                encodedTasks);
    }

    /** Returns false if the body ends before the end of the map. */
    private boolean readFields() throws IOException {
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            boolean isTasks = name.equals(WireNames.TASKS);
            int position = isTasks && body.length > 0 ? MessageCodec.bytesRead(parser) : body.length;
            if (position < body.length && reuseTasksOfLastHeartbeat(position)) {
                return true;
            }
            JsonToken value = parser.nextToken();
            encodedTasks = null; // the list was not the last field
            if (isTasks) {
                tasks = readTasks(value);
                encodedTasks = position < body.length ? Arrays.copyOfRange(body, position, body.length) : null;
            } else {
                readField(name, value);
            }
        }
        return parser.currentToken() == JsonToken.END_OBJECT;
    }

    /** Reuses the tasks of the machine's last heartbeat if the body is the same from this position on. */
    private boolean reuseTasksOfLastHeartbeat(int position) {
        Heartbeat last = machine == null ? null : lastHeartbeatOf.apply(machine);
        if (last == null || !last.hasSameEncodedTasks(body, position)) {
            return false;
        }
        tasks = last.tasks();
        encodedTasks = last.encodedTasks();
        return true;
    }

    private void readField(String name, JsonToken value) throws IOException {
        switch (name) {
            case WireNames.MACHINE -> machine = value == JsonToken.VALUE_STRING ? parser.getText() : null;
            case WireNames.ADDRESS -> address = parser.getValueAsString("");
            case WireNames.MACHINE_TYPE -> machineType = parser.getValueAsString("");
            case WireNames.ZONE -> zone = parser.getValueAsString("");
            case WireNames.SPOT -> spot = value == JsonToken.VALUE_TRUE;
            case WireNames.INCARNATION -> incarnation = readInteger(value);
            case WireNames.SEQUENCE -> sequence = readInteger(value);
            case WireNames.FENCING_TOKEN -> fencingToken = readInteger(value);
            case WireNames.RECLAIM_NOTICE_S ->
                reclaimNoticeS = value.isNumeric() ? Math.max(0, parser.getDoubleValue()) : MISSING;
            default -> parser.skipChildren();
        }
    }

    private long readInteger(JsonToken value) throws IOException {
        return value == JsonToken.VALUE_NUMBER_INT ? parser.getLongValue() : MISSING;
    }

    private List<TaskStatus> readTasks(JsonToken list) throws IOException {
        if (list != JsonToken.START_ARRAY) {
            parser.skipChildren();
            return List.of();
        }
        List<TaskStatus> read = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            read.add(readTask());
        }
        return read;
    }

    private TaskStatus readTask() throws IOException {
        String taskId = "";
        long attempt = 0;
        TaskPhase phase = TaskPhase.PULLING_IMAGE;
        ExitReason exitReason = ExitReason.OTHER;
        boolean checkpointSaved = false;
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            JsonToken value = parser.nextToken();
            switch (name) {
                case WireNames.TASK -> taskId = parser.getValueAsString("");
                case WireNames.ATTEMPT -> attempt = parser.getValueAsLong();
                case WireNames.STATE -> phase = TaskPhase.of(parser.getValueAsString(""));
                case WireNames.EXIT_REASON -> exitReason = ExitReason.of(parser.getValueAsString(""));
                case WireNames.CHECKPOINT_SAVED -> checkpointSaved = value == JsonToken.VALUE_TRUE;
                default -> parser.skipChildren();
            }
        }
        return new TaskStatus(taskId, attempt, phase, exitReason, checkpointSaved);
    }
}
