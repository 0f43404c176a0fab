package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;

/** The bodies of responses and direct commands to workers. Messages from workers are {@link Heartbeat}s. */
public final class WorkerMessages {
    private WorkerMessages() {}

    /** Returns the body of a response that redirects a worker to the leader. */
    public static ObjectNode redirect(String leader) {
        return MessageCodec.map().put(WireNames.LEADER, leader);
    }

    /** Returns the leader's name from a body written by {@link #redirect}; empty if it has none. */
    public static String redirectTarget(JsonNode body) {
        return body.path(WireNames.LEADER).asText();
    }

    /** Returns the body of a response to a heartbeat. */
    public static ObjectNode heartbeatResponse(long fencingToken, Collection<WorkerCommand> commands) {
        ObjectNode body = MessageCodec.map().put(WireNames.FENCING_TOKEN, fencingToken);
        ArrayNode list = body.putArray(WireNames.COMMANDS);
        for (WorkerCommand command : commands) {
            write(command, list.addObject());
        }
        return body;
    }

    /** Returns the body of a request with commands for one incarnation of a worker's agent. */
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
