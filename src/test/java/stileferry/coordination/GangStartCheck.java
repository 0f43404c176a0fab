package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import stileferry.protocol.JobSpec;
import stileferry.standin.KeyValueStore;

/** Checks that the assignments of all tasks of a gang are stored before any of them is started. */
final class GangStartCheck {
    private static final int ASSIGNED_EVENT = 0;

    private final KeyValueStore store;
    private final Function<String, JobSpec> specByJobId;
    private final Set<String> checkedAttempts = new HashSet<>();

    GangStartCheck(KeyValueStore store, Function<String, JobSpec> specs) {
        this.store = store;
        this.specByJobId = specs;
    }

    /** Looks at the commands in what a controller sends; only the first start of each gang's attempt is checked. */
    void checkStarts(JsonNode sent, List<String> violations) {
        if (sent == null) {
            return;
        }
        for (JsonNode signal : sent.path("signals")) {
            String task = signal.path("passenger").asText();
            long attempt = signal.path("launch").asLong();
            JobSpec spec = specByJobId.apply(task.substring(0, task.indexOf('/')));
            boolean starts = spec.gang() && signal.path("signal").asText().equals("run");
            if (starts && checkedAttempts.add(spec.id() + "#" + attempt)) {
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
            JsonNode page = readPage(from);
            page.path("rows").forEach(row -> addAssignments(row.path("v").path("e"), id, attempt, assigned));
            JsonNode last = page.path("rows").path(page.path("rows").size() - 1);
            from = page.path("more").asBoolean() ? last.path("path").asText() : "";
        } while (!from.isEmpty());
        return assigned;
    }

    private JsonNode readPage(String from) {
        JsonNode[] answer = new JsonNode[1];
        String path = "/kv?starts=l/&most=1000" + (from.isEmpty() ? "" : "&from=" + from);
        store.request("GET", path, null, (status, body) -> answer[0] = body);
        return answer[0];
    }

    private static void addAssignments(JsonNode events, String id, long attempt, Set<Integer> assigned) {
        for (JsonNode event : events) {
            if (event.path(0).asInt() == ASSIGNED_EVENT
                    && event.path(1).asText().equals(id)
                    && event.path(3).asLong() == attempt) {
                assigned.add(event.path(2).asInt());
            }
        }
    }
}
