package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** What a worker says of itself. */
public record Report(
        String machine, String addr, String type, String zone, boolean spot,
        long session, long seq, long token, double noticeS, List<TaskState> tasks) {

    /** Where a task stands on its worker. */
    public enum Stage { FETCHING, RUNNING, SAVING, EXITED }

    /** One task of a report; {@code why} is empty unless it has exited. */
    public record TaskState(String task, long attempt, Stage stage, String why, boolean saved) {
        /** What tells this start of this task from all others. */
        public String key() {
            return task + "#" + attempt;
        }
    }

    /** Reads a report; null when it is malformed. A missing notice reads as -1. */
    public static Report read(JsonNode n) {
        if (n == null || !n.isObject() || !n.path("vessel").isTextual() || !n.path("voyage").isIntegralNumber()
                || !n.path("log_seq").isIntegralNumber() || !n.path("helm").isIntegralNumber()) {
            return null;
        }
        List<TaskState> tasks = new ArrayList<>();
        for (JsonNode t : n.path("passengers")) {
            Stage stage = switch (t.path("tide").asText()) {
                case "running" -> Stage.RUNNING;
                case "saving" -> Stage.SAVING;
                case "exited" -> Stage.EXITED;
                default -> Stage.FETCHING; // also a gang's task that waits for the others
            };
            tasks.add(new TaskState(t.path("passenger").asText(), t.path("launch").asLong(), stage,
                    t.path("landing_cause").asText(""), t.path("kept").asBoolean(false)));
        }
        return new Report(
                n.path("vessel").textValue(), n.path("addr").asText(), n.path("hull").asText(),
                n.path("harbor").asText(), n.path("tender").asBoolean(false),
                n.path("voyage").longValue(), n.path("log_seq").longValue(), n.path("helm").longValue(),
                n.path("recall_s").isNumber() ? Math.max(0, n.path("recall_s").doubleValue()) : -1, tasks);
    }
}
