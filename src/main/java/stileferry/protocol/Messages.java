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
                .put("name_id", id)
                .put("tide", state)
                .put("done", done)
                .put("running", running);
    }

    /** A refusal with its reason. */
    public static ObjectNode error(String reason) {
        return MessageCodec.map().put("error", reason);
    }

    /** The answer that sends a worker to another node. */
    public static ObjectNode redirect(String node) {
        return MessageCodec.map().put("harbormaster", node);
    }

    /** The answer to a report. */
    public static ObjectNode heartbeatResponse(long token, Collection<WorkerCommand> signals) {
        ObjectNode body = MessageCodec.map().put("helm", token);
        ArrayNode list = body.putArray("signals");
        for (WorkerCommand command : signals) {
            ObjectNode n = list.addObject();
            n.put("signal", command.kind().name().toLowerCase(java.util.Locale.ROOT));
            n.put("passenger", command.taskId()).put("launch", command.attempt());
            if (command.kind() == WorkerCommand.Kind.KILL) {
                n.put("ashore_s", command.graceS());
            }
        }
        return body;
    }

    /** A direct command to one session of a worker. */
    public static ObjectNode directCommands(long token, long session, Collection<WorkerCommand> signals) {
        return heartbeatResponse(token, signals).put("voyage", session);
    }

    /** A rental request. */
    public static ObjectNode scaleOutRequest(String request, String type, String zone, boolean spot, int count) {
        return MessageCodec.map()
                .put("charter", request)
                .put("hull", type)
                .put("harbor", zone)
                .put("tender", spot)
                .put("count", count);
    }

    /** A list of machine names, as deletion asks for it. */
    public static ObjectNode deletionRequest(Collection<String> names) {
        ObjectNode body = MessageCodec.map();
        names.forEach(body.putArray("fleet")::add);
        return body;
    }

    /** The names in a rental's answer. */
    public static List<String> createdMachines(JsonNode body) {
        List<String> names = new ArrayList<>();
        body.path("fleet").forEach(n -> names.add(n.asText()));
        return names;
    }

    /** The machines in one page of the cloud's list. */
    public static List<ListedMachine> listedMachines(JsonNode body) {
        List<ListedMachine> machines = new ArrayList<>();
        for (JsonNode m : body.path("fleet")) {
            machines.add(new ListedMachine(
                    m.path("name_id").asText(),
                    m.path("addr").asText(),
                    m.path("hull").asText(),
                    m.path("harbor").asText(),
                    m.path("tender").asBoolean(),
                    m.path("tide").asText(),
                    m.path("age_s").asDouble()));
        }
        return machines;
    }
}
