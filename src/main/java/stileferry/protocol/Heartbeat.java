package stileferry.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;

/**
 * What a worker says of itself.
 *
 * @param encodedTasks the end of the body, from the list of tasks on; null when the list was not the last field
 */
public record Heartbeat(
        String machine,
        String address,
        String machineType,
        String zone,
        boolean spot,
        long incarnation,
        long sequence,
        long fencingToken,
        double reclaimNoticeS,
        List<TaskStatus> tasks,
        byte[] encodedTasks) {

    private static final byte[] NO_BODY = new byte[0];

    /** Where a task stands on its worker; a gang's task that has its image waits for the others. */
    public enum TaskPhase {
        PULLING_IMAGE,
        WAITING_FOR_GANG,
        RUNNING,
        SAVING_CHECKPOINT,
        EXITED
    }

    /** One task of a report; the reason means something only if it has exited. */
    public record TaskStatus(
            String taskId, long attempt, TaskPhase phase, ExitReason exitReason, boolean checkpointSaved) {
        /** What tells this start of this task from all others. */
        public String attemptId() {
            return taskId + "#" + attempt;
        }
    }

    /** Reads a report's body; null when it is malformed. A missing notice reads as -1. */
    public static Heartbeat read(byte[] body) {
        return read(body, machine -> null);
    }

    /**
     * Reads a report's body. Most reports tell of the same tasks as the last one of their machine: a list that is the
     * same to the byte is not read again, but taken from there.
     *
     * @param last the last report of a machine, or null
     */
    public static Heartbeat read(byte[] body, Function<String, Heartbeat> last) {
        try (JsonParser parser = MessageCodec.parser(body)) {
            return parser.nextToken() == JsonToken.START_OBJECT ? read(parser, body, last) : null;
        } catch (IOException | RuntimeException e) {
            return null; // the decoder throws unchecked exceptions for some malformed input
        }
    }

    /** Reads a report that came as an answer; null when it is malformed. */
    public static Heartbeat read(JsonNode node) {
        if (node == null || !node.isObject()) {
            return null;
        }
        try (JsonParser parser = node.traverse()) {
            parser.nextToken();
            return read(parser, NO_BODY, machine -> null);
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    /** Field by field, without building a tree: hundreds of reports arrive every second. */
    private static Heartbeat read(JsonParser parser, byte[] body, Function<String, Heartbeat> last) throws IOException {
        String machine = null;
        String addr = "";
        String type = "";
        String zone = "";
        boolean spot = false;
        long session = -1;
        long seq = -1;
        long token = -1;
        double noticeS = -1;
        List<TaskStatus> tasks = List.of();
        byte[] encoded = null;
        boolean whole = false;
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            int at = name.equals(WireNames.TASKS) && body.length > 0 ? MessageCodec.position(parser) : body.length;
            Heartbeat known = at < body.length && machine != null ? last.apply(machine) : null;
            if (known != null && known.endsAs(body, at)) {
                tasks = known.tasks;
                encoded = known.encodedTasks;
                whole = true;
                break;
            }
            JsonToken value = parser.nextToken();
            encoded = null;
            switch (name) {
                case WireNames.MACHINE -> machine = value == JsonToken.VALUE_STRING ? parser.getText() : null;
                case WireNames.ADDRESS -> addr = parser.getValueAsString("");
                case WireNames.MACHINE_TYPE -> type = parser.getValueAsString("");
                case WireNames.ZONE -> zone = parser.getValueAsString("");
                case WireNames.SPOT -> spot = value == JsonToken.VALUE_TRUE;
                case WireNames.INCARNATION -> session = count(parser, value);
                case WireNames.SEQUENCE -> seq = count(parser, value);
                case WireNames.FENCING_TOKEN -> token = count(parser, value);
                case WireNames.RECLAIM_NOTICE_S ->
                    noticeS = value.isNumeric() ? Math.max(0, parser.getDoubleValue()) : -1;
                case WireNames.TASKS -> {
                    tasks = tasks(parser, value);
                    encoded = at < body.length ? Arrays.copyOfRange(body, at, body.length) : null;
                }
                default -> parser.skipChildren();
            }
        }
        whole |= parser.currentToken() == JsonToken.END_OBJECT;
        if (!whole || machine == null || session < 0 || seq < 0 || token < 0) {
            return null;
        }
        return new Heartbeat(machine, addr, type, zone, spot, session, seq, token, noticeS, tasks, encoded);
    }

    private boolean endsAs(byte[] body, int from) {
        return encodedTasks != null && Arrays.equals(body, from, body.length, encodedTasks, 0, encodedTasks.length);
    }

    private static long count(JsonParser parser, JsonToken value) throws IOException {
        return value == JsonToken.VALUE_NUMBER_INT ? parser.getLongValue() : -1;
    }

    private static List<TaskStatus> tasks(JsonParser parser, JsonToken list) throws IOException {
        if (list != JsonToken.START_ARRAY) {
            parser.skipChildren();
            return List.of();
        }
        List<TaskStatus> tasks = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            String task = "";
            long attempt = 0;
            TaskPhase stage = TaskPhase.PULLING_IMAGE; // also for words that are not known yet
            ExitReason reason = ExitReason.OTHER;
            boolean saved = false;
            for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
                JsonToken value = parser.nextToken();
                switch (name) {
                    case WireNames.TASK -> task = parser.getValueAsString("");
                    case WireNames.ATTEMPT -> attempt = parser.getValueAsLong();
                    case WireNames.STATE ->
                        stage = switch (parser.getValueAsString("")) {
                            case "waiting" -> TaskPhase.WAITING_FOR_GANG;
                            case "running" -> TaskPhase.RUNNING;
                            case "saving" -> TaskPhase.SAVING_CHECKPOINT;
                            case "exited" -> TaskPhase.EXITED;
                            default -> TaskPhase.PULLING_IMAGE;
                        };
                    case WireNames.EXIT_REASON -> reason = ExitReason.of(parser.getValueAsString(""));
                    case WireNames.CHECKPOINT_SAVED -> saved = value == JsonToken.VALUE_TRUE;
                    default -> parser.skipChildren();
                }
            }
            tasks.add(new TaskStatus(task, attempt, stage, reason, saved));
        }
        return tasks;
    }
}
