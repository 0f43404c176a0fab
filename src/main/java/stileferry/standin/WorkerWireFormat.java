package stileferry.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import stileferry.protocol.ExitReason;
import stileferry.protocol.Heartbeat.TaskPhase;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.WorkerCommand;

/** The worker's side of its messages, after the published protocol. */
final class WorkerWireFormat {
    private WorkerWireFormat() {}

    /**
     * Writes a heartbeat.
     *
     * @param reclaimNoticeS negative: no notice
     */
    static ObjectNode heartbeat(
            Worker worker, long sequence, long fencingToken, double reclaimNoticeS, Collection<WorkerTask> tasks) {
        ObjectNode heartbeat = MessageCodec.map()
                .put("vessel", worker.machine())
                .put("addr", worker.address())
                .put("hull", worker.type())
                .put("harbor", worker.zone())
                .put("tender", worker.spot())
                .put("voyage", worker.incarnation())
                .put("log_seq", sequence)
                .put("helm", fencingToken);
        if (reclaimNoticeS >= 0) {
            heartbeat.put("recall_s", reclaimNoticeS);
        } else {
            heartbeat.putNull("recall_s");
        }
        ArrayNode list = heartbeat.putArray("passengers");
        tasks.forEach(task -> writeTask(task, list.addObject()));
        return heartbeat;
    }

    private static void writeTask(WorkerTask task, ObjectNode entry) {
        entry.put("passenger", task.taskId()).put("launch", task.attempt()).put("tide", phaseName(task.phase()));
        if (task.exited()) {
            entry.put("landing_cause", exitReasonName(task.exitReason()));
            if (task.checkpointSaved()) {
                entry.put("kept", true);
            }
        }
    }

    private static String phaseName(TaskPhase phase) {
        return switch (phase) {
            case PULLING_IMAGE -> "pulling";
            case WAITING_FOR_GANG -> "waiting";
            case RUNNING -> "running";
            case SAVING_CHECKPOINT -> "saving";
            case EXITED -> "exited";
        };
    }

    private static String exitReasonName(ExitReason reason) {
        return switch (reason) {
            case COMPLETED -> "done";
            case STOPPED -> "halted";
            case FAILED -> "error";
            case INSUFFICIENT_RESOURCES -> "full";
            case CONFLICTING_ATTEMPT -> "busy";
            case UNKNOWN_JOB -> "unknown";
            case GANG_MEMBER_LOST -> "peers";
            case GANG_INCOMPLETE -> "incomplete";
            case OTHER -> "";
        };
    }

    static boolean hasFencingToken(JsonNode message) {
        return message.path("helm").isIntegralNumber();
    }

    static long fencingToken(JsonNode message) {
        return message.path("helm").asLong();
    }

    static boolean hasIncarnation(JsonNode message) {
        return message.path("voyage").isIntegralNumber();
    }

    static long incarnation(JsonNode message) {
        return message.path("voyage").asLong();
    }

    /** The commands of a message, without those of a kind that is not known. */
    static List<WorkerCommand> commands(JsonNode message) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (JsonNode command : message.path("signals")) {
            WorkerCommand.Kind kind = commandKind(command.path("signal").asText());
            if (kind != null) {
                commands.add(new WorkerCommand(
                        kind,
                        command.path("passenger").asText(),
                        command.path("launch").asLong(),
                        command.path("ashore_s").asDouble()));
            }
        }
        return commands;
    }

    private static WorkerCommand.Kind commandKind(String name) {
        return switch (name) {
            case "run" -> WorkerCommand.Kind.RUN;
            case "kill" -> WorkerCommand.Kind.KILL;
            case "clear" -> WorkerCommand.Kind.CLEAR;
            default -> null;
        };
    }
}
