package stileferry.golden;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** A worker after the published protocol, in the protocol's own words, whose tasks end when a test says so. */
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

    /** The next report. */
    ObjectNode nextHeartbeat() {
        ObjectNode report = JsonNodeFactory.instance.objectNode();
        report.put("vessel", name).put("addr", address).put("hull", "box").put("harbor", zone);
        report.put("tender", false).put("voyage", 1).put("log_seq", ++sequence).put("helm", fencingToken);
        report.set("passengers", tasks.deepCopy());
        return report;
    }

    /** Carries out what a response or a direct command asks for. */
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

    /** Has a task without telling anybody why. */
    void startTask(String task, long attempt) {
        if (findTask(task) == null) {
            tasks.addObject().put("passenger", task).put("launch", attempt).put("tide", "running");
        }
    }

    /** Ends a task. */
    void endTask(String task, String why) {
        ObjectNode found = findTask(task);
        if (found != null && !found.path("tide").asText().equals("exited")) {
            found.put("tide", "exited").put("landing_cause", why);
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
        for (JsonNode one : tasks) {
            if (one.path("passenger").asText().equals(task)) {
                return (ObjectNode) one;
            }
        }
        return null;
    }
}
