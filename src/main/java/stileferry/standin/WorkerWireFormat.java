package stileferry.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.WireNames;
import stileferry.protocol.WorkerCommand;

/** Encodes the heartbeats of a worker and decodes the messages that it receives, as the published protocol demands. */
final class WorkerWireFormat {
    private WorkerWireFormat() {}

    /**
     * Encodes a heartbeat.
     *
     * @param reclaimNoticeS seconds of notice before the cloud reclaims the machine; negative if there is no notice
     */
    static ObjectNode heartbeat(
            Worker worker, long sequence, long fencingToken, double reclaimNoticeS, Collection<WorkerTask> tasks) {
        ObjectNode heartbeat = MessageCodec.map()
                .put(WireNames.MACHINE, worker.machine())
                .put(WireNames.ADDRESS, worker.address())
                .put(WireNames.MACHINE_TYPE, worker.machineType())
                .put(WireNames.ZONE, worker.zone())
                .put(WireNames.SPOT, worker.spot())
                .put(WireNames.INCARNATION, worker.incarnation())
                .put(WireNames.SEQUENCE, sequence)
                .put(WireNames.FENCING_TOKEN, fencingToken);
        if (reclaimNoticeS >= 0) {
            heartbeat.put(WireNames.RECLAIM_NOTICE_S, reclaimNoticeS);
        } else {
            heartbeat.putNull(WireNames.RECLAIM_NOTICE_S);
        }
        ArrayNode list = heartbeat.putArray(WireNames.TASKS);
        tasks.forEach(task -> writeTask(task, list.addObject()));
        return heartbeat;
    }

    private static void writeTask(WorkerTask task, ObjectNode entry) {
        entry.put(WireNames.TASK, task.taskId())
                .put(WireNames.ATTEMPT, task.attempt())
                .put(WireNames.STATE, task.phase().wireName());
        if (task.exited()) {
            entry.put(WireNames.EXIT_REASON, task.exitReason().wireName());
            if (task.checkpointSaved()) {
                entry.put(WireNames.CHECKPOINT_SAVED, true);
            }
        }
    }

    static boolean hasFencingToken(JsonNode message) {
        return message.path(WireNames.FENCING_TOKEN).isIntegralNumber();
    }

    static long fencingToken(JsonNode message) {
        return message.path(WireNames.FENCING_TOKEN).asLong();
    }

    static boolean hasIncarnation(JsonNode message) {
        return message.path(WireNames.INCARNATION).isIntegralNumber();
    }

    static long incarnation(JsonNode message) {
        return message.path(WireNames.INCARNATION).asLong();
    }

    /** Decodes the commands of a message; commands of unknown kinds are skipped. */
    static List<WorkerCommand> commands(JsonNode message) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (JsonNode command : message.path(WireNames.COMMANDS)) {
            WorkerCommand.Kind kind =
                    commandKind(command.path(WireNames.COMMAND).asText());
            if (kind != null) {
                commands.add(new WorkerCommand(
                        kind,
                        command.path(WireNames.TASK).asText(),
                        command.path(WireNames.ATTEMPT).asLong(),
                        command.path(WireNames.GRACE_S).asDouble()));
            }
        }
        return commands;
    }

    private static WorkerCommand.Kind commandKind(String name) {
        for (WorkerCommand.Kind kind : WorkerCommand.Kind.values()) {
            if (kind.wireName().equals(name)) {
                return kind;
            }
        }
        return null;
    }
}
