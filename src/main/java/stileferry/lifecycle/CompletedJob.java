package stileferry.lifecycle;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.UserMessages;

/** How a job ended. */
public record CompletedJob(String outcome, int completedTasks) {
    public static CompletedJob read(JsonNode v) {
        return new CompletedJob(v.path("how").asText(), v.path("done").asInt());
    }

    ObjectNode write() {
        return MessageCodec.map().put("how", outcome).put("done", completedTasks);
    }

    public ObjectNode jobState(String id) {
        return UserMessages.jobState(id, outcome, completedTasks, 0);
    }
}
