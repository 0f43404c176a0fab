package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import stileferry.protocol.JobSpec;
import stileferry.standin.KeyValueStore;

/** Checks that the assignments of all tasks of a gang are stored before any of its tasks is started. */
final class GangStartCheck {
    private static final int ASSIGNED_EVENT = 0;

    private final KeyValueStore store;
    private final Function<String, JobSpec> specByJobId;
    private final Set<String> checkedAttempts = new HashSet<>();

    GangStartCheck(KeyValueStore store, Function<String, JobSpec> specByJobId) {
        this.store = store;
        this.specByJobId = specByJobId;
    }

    /**
     * Checks the commands in a message that a controller sends to a worker. Only the first start in each attempt of a
     * gang is checked.
     *
     * @param sent the message; may be null
     * @param violations the list to which violations are added
     */
    void checkStarts(JsonNode message, List<String> violations) {
        if (message == null) {
            return;
        }
        for (JsonNode signal : message.path("signals")) {
            String task = signal.path("passenger").asText();
            long attempt = signal.path("launch").asLong();
            JobSpec spec = specByJobId.apply(task.substring(0, task.indexOf('/')));
            boolean starts = spec.isGang() && signal.path("signal").asText().equals("run");
            if (starts && checkedAttempts.add(spec.id() + "#" + attempt)) {
                Set<Integer> assigned = assignedTasks(spec.id(), attempt);
                if (assigned.size() < spec.taskCount()) {
                    violations.add("started_early: " + task + " with stored assignments only of the tasks " + assigned);
                }
            }
        }
    }

    private Set<Integer> assignedTasks(String jobId, long attempt) {
        Set<Integer> assigned = new HashSet<>();
        String from = "";
        do {
            JsonNode page = readPage(from);
            page.path("rows").forEach(row -> addAssignments(row.path("v").path("e"), jobId, attempt, assigned));
            JsonNode lastRow = page.path("rows").path(page.path("rows").size() - 1);
            from = page.path("more").asBoolean() ? lastRow.path("path").asText() : "";
        } while (!from.isEmpty());
        return assigned;
    }

    private JsonNode readPage(String from) {
        JsonNode[] response = new JsonNode[1];
        String path = "/kv?starts=l/&most=1000" + (from.isEmpty() ? "" : "&from=" + from);
        store.handleRequest("GET", path, null, (status, body) -> response[0] = body);
        return response[0];
    }

    private static void addAssignments(JsonNode events, String jobId, long attempt, Set<Integer> assigned) {
        for (JsonNode event : events) {
            if (event.path(0).asInt() == ASSIGNED_EVENT
                    && event.path(1).asText().equals(jobId)
                    && event.path(3).asLong() == attempt) {
                assigned.add(event.path(2).asInt());
            }
        }
    }
}
