package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** The bodies this service writes and the few outside answers it reads, in the wire's own words. */
public final class Messages {
    private Messages() {}

    /** A command to a worker. */
    public record WorkerCommand(Kind kind, String taskId, long attempt, double graceS) {
        /** What a command asks for. */
        public enum Kind {
            RUN,
            KILL,
            CLEAR
        }

        /** What tells this start of this task from all others. */
        public String attemptId() {
            return taskId + "#" + attempt;
        }
    }

    /** A machine in the cloud's list. */
    public record ListedMachine(
            String name, String address, String type, String zone, boolean spot, String state, double ageS) {}

    /** The body of a user's answer about a job. */
    public static ObjectNode jobState(String id, String state, int done, int running) {
        return MessageCodec.map()
                .put(WireNames.NAME_ID, id)
                .put(WireNames.STATE, state)
                .put(WireNames.DONE, done)
                .put(WireNames.RUNNING, running);
    }

    /** A refusal with its reason. */
    public static ObjectNode error(String reason) {
        return MessageCodec.map().put(WireNames.ERROR, reason);
    }

    /** The answer that sends a worker to another node. */
    public static ObjectNode redirect(String node) {
        return MessageCodec.map().put(WireNames.LEADER, node);
    }

    /** The answer to a report. */
    public static ObjectNode heartbeatResponse(long token, Collection<WorkerCommand> signals) {
        ObjectNode body = MessageCodec.map().put(WireNames.FENCING_TOKEN, token);
        ArrayNode list = body.putArray(WireNames.COMMANDS);
        for (WorkerCommand command : signals) {
            ObjectNode n = list.addObject();
            n.put(WireNames.COMMAND, command.kind().name().toLowerCase(java.util.Locale.ROOT));
            n.put(WireNames.TASK, command.taskId()).put(WireNames.ATTEMPT, command.attempt());
            if (command.kind() == WorkerCommand.Kind.KILL) {
                n.put(WireNames.GRACE_S, command.graceS());
            }
        }
        return body;
    }

    /** A direct command to one session of a worker. */
    public static ObjectNode directCommands(long token, long session, Collection<WorkerCommand> signals) {
        return heartbeatResponse(token, signals).put(WireNames.INCARNATION, session);
    }

    /** A rental request. */
    public static ObjectNode scaleOutRequest(String request, String type, String zone, boolean spot, int count) {
        return MessageCodec.map()
                .put(WireNames.SCALE_OUT_REQUEST, request)
                .put(WireNames.MACHINE_TYPE, type)
                .put(WireNames.ZONE, zone)
                .put(WireNames.SPOT, spot)
                .put(WireNames.COUNT, count);
    }

    /** A list of machine names, as deletion asks for it. */
    public static ObjectNode deletionRequest(Collection<String> names) {
        ObjectNode body = MessageCodec.map();
        names.forEach(body.putArray(WireNames.MACHINES)::add);
        return body;
    }

    /** The names in a rental's answer. */
    public static List<String> createdMachines(JsonNode body) {
        List<String> names = new ArrayList<>();
        body.path(WireNames.MACHINES).forEach(n -> names.add(n.asText()));
        return names;
    }

    /** The machines in one page of the cloud's list. */
    public static List<ListedMachine> listedMachines(JsonNode body) {
        List<ListedMachine> machines = new ArrayList<>();
        for (JsonNode m : body.path(WireNames.MACHINES)) {
            machines.add(new ListedMachine(
                    m.path(WireNames.NAME_ID).asText(),
                    m.path(WireNames.ADDRESS).asText(),
                    m.path(WireNames.MACHINE_TYPE).asText(),
                    m.path(WireNames.ZONE).asText(),
                    m.path(WireNames.SPOT).asBoolean(),
                    m.path(WireNames.STATE).asText(),
                    m.path(WireNames.AGE_S).asDouble()));
        }
        return machines;
    }
}
