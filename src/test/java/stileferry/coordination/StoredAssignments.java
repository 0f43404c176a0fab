package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import stileferry.protocol.JobSpec;
import stileferry.standin.KeyValueStore;

/** Checks that the assignments of all tasks of a gang are stored before any of them is started. */
final class StoredAssignments {
    private static final int ASSIGNED = 0;

    private final KeyValueStore store;
    private final Function<String, JobSpec> specs;
    private final Set<String> checked = new HashSet<>();

    StoredAssignments(KeyValueStore store, Function<String, JobSpec> specs) {
        this.store = store;
        this.specs = specs;
    }

    /** Looks at the commands in what a controller sends; only the first start of each gang's attempt is checked. */
    void checkStarts(JsonNode sent, List<String> violations) {
        if (sent == null) {
            return;
        }
        for (JsonNode signal : sent.path("signals")) {
            String task = signal.path("passenger").asText();
            long attempt = signal.path("launch").asLong();
            JobSpec spec = specs.apply(task.substring(0, task.indexOf('/')));
            boolean starts = spec.isGang() && signal.path("signal").asText().equals("run");
            if (starts && checked.add(spec.id() + "#" + attempt)) {
                Set<Integer> assigned = assignedTasks(spec.id(), attempt);
                if (assigned.size() < spec.taskCount()) {
                    violations.add("started_early: " + task + " with stored assignments of " + assigned);
                }
            }
        }
    }

    private Set<Integer> assignedTasks(String id, long attempt) {
        Set<Integer> assigned = new HashSet<>();
        String from = "";
        do {
            JsonNode page = page(from);
            page.path("rows").forEach(row -> addAssignments(row.path("v").path("e"), id, attempt, assigned));
            JsonNode last = page.path("rows").path(page.path("rows").size() - 1);
            from = page.path("more").asBoolean() ? last.path("path").asText() : "";
        } while (!from.isEmpty());
        return assigned;
    }

    private JsonNode page(String from) {
        JsonNode[] answer = new JsonNode[1];
        String path = "/kv?starts=l/&most=1000" + (from.isEmpty() ? "" : "&from=" + from);
        store.request("GET", path, null, (status, body) -> answer[0] = body);
        return answer[0];
    }

    private static void addAssignments(JsonNode events, String id, long attempt, Set<Integer> assigned) {
        for (JsonNode event : events) {
            if (event.path(0).asInt() == ASSIGNED
                    && event.path(1).asText().equals(id)
                    && event.path(3).asLong() == attempt) {
                assigned.add(event.path(2).asInt());
            }
        }
    }
}
