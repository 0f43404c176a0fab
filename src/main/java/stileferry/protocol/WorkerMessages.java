package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;

/** The bodies of answers and direct commands to workers; what comes from them is a {@link Heartbeat}. */
public final class WorkerMessages {
    private WorkerMessages() {}

    /** The answer that sends a worker to the controller that leads. */
    public static ObjectNode redirect(String leader) {
        return MessageCodec.map().put(WireNames.LEADER, leader);
    }

    /** The name of the controller that leads, in an answer that {@link #redirect} wrote; empty: none is named. */
    public static String redirectTarget(JsonNode body) {
        return body.path(WireNames.LEADER).asText();
    }

    /** The answer to a heartbeat. */
    public static ObjectNode heartbeatResponse(long fencingToken, Collection<WorkerCommand> commands) {
        ObjectNode body = MessageCodec.map().put(WireNames.FENCING_TOKEN, fencingToken);
        ArrayNode list = body.putArray(WireNames.COMMANDS);
        for (WorkerCommand command : commands) {
            write(command, list.addObject());
        }
        return body;
    }

    /** Direct commands to one incarnation of a worker's agent. */
    public static ObjectNode directCommands(long fencingToken, long incarnation, Collection<WorkerCommand> commands) {
        return heartbeatResponse(fencingToken, commands).put(WireNames.INCARNATION, incarnation);
    }

    private static void write(WorkerCommand command, ObjectNode node) {
        node.put(WireNames.COMMAND, command.kind().wireName());
        node.put(WireNames.TASK, command.taskId()).put(WireNames.ATTEMPT, command.attempt());
        if (command.kind() == WorkerCommand.Kind.KILL) {
            node.put(WireNames.GRACE_S, command.graceS());
        }
    }
}
