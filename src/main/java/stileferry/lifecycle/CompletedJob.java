package stileferry.lifecycle;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.UserMessages;

/**
 * The permanently stored record of a completed job.
 *
 * @param outcome {@link #DONE} or {@link #CANCELLED}
 * @param completedTasks the number of its tasks that completed
 */
public record CompletedJob(String outcome, int completedTasks) {
    static final String DONE = "done";
    static final String CANCELLED = "cancelled";

    public static CompletedJob read(JsonNode value) {
        return new CompletedJob(value.path("how").asText(), value.path("done").asInt());
    }

    ObjectNode write() {
        return MessageCodec.map().put("how", outcome).put("done", completedTasks);
    }

    /** Returns the state of the job in the form reported to users. */
    public ObjectNode jobState(String id) {
        return UserMessages.jobState(id, outcome, completedTasks, 0);
    }
}
