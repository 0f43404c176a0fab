package stileferry.golden;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An in-memory worker that implements the published protocol, with tasks that exit when the test says so or a command
 * stops them. It uses the protocol's field names literally instead of the constants of the code under test.
 */
final class FakeWorker {
    final String address;

    private final String name;
    private final String zone;
    private long sequence;
    private long fencingToken;
    private final ArrayNode tasks = JsonNodeFactory.instance.arrayNode();

    FakeWorker(String name, String addr, String zone) {
        this.name = name;
        this.address = addr;
        this.zone = zone;
    }

    /** Returns the next heartbeat, with a higher sequence number than the one before. */
    ObjectNode nextHeartbeat() {
        ObjectNode heartbeat = JsonNodeFactory.instance.objectNode();
        heartbeat.put("vessel", name).put("addr", address).put("hull", "box").put("harbor", zone);
        heartbeat
                .put("tender", false)
                .put("voyage", 1)
                .put("log_seq", ++sequence)
                .put("helm", fencingToken);
        heartbeat.set("passengers", tasks.deepCopy());
        return heartbeat;
    }

    /** Executes the commands of a heartbeat response or a direct message, unless its fencing token is outdated. */
    void execute(JsonNode message) {
        if (message.path("helm").asLong() < fencingToken) {
            return;
        }
        fencingToken = message.path("helm").asLong();
        for (JsonNode command : message.path("signals")) {
            String task = command.path("passenger").asText();
            switch (command.path("signal").asText()) {
                case "run" -> startTask(task, command.path("launch").asLong());
                case "kill" -> endTask(task, "halted");
                default -> removeTask(task);
            }
        }
    }

    /** Starts a task unless it is there already. Tests use it for tasks of which the controller sent no command. */
    void startTask(String task, long attempt) {
        if (findTask(task) == null) {
            tasks.addObject().put("passenger", task).put("launch", attempt).put("tide", "running");
        }
    }

    /** Lets a task exit for a reason, a word of the protocol; does nothing if the task is unknown or has exited. */
    void endTask(String task, String reason) {
        ObjectNode found = findTask(task);
        if (found != null && !found.path("tide").asText().equals("exited")) {
            found.put("tide", "exited").put("landing_cause", reason);
        }
    }

    private void removeTask(String task) {
        for (int i = tasks.size() - 1; i >= 0; i--) {
            if (tasks.get(i).path("passenger").asText().equals(task)) {
                tasks.remove(i);
            }
        }
    }

    private ObjectNode findTask(String task) {
        for (JsonNode candidate : tasks) {
            if (candidate.path("passenger").asText().equals(task)) {
                return (ObjectNode) candidate;
            }
        }
        return null;
    }
}
