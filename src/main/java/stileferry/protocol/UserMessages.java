package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The bodies of answers to users; a refusal has the same form for everybody. */
public final class UserMessages {
    private UserMessages() {}

    /** The state of a job as its user hears it, with the numbers of its completed and running tasks. */
    public record JobState(String id, String state, int completedTasks, int runningTasks) {
        /** Reads the body of an answer about a job; what is missing reads as empty or 0. */
        public static JobState read(JsonNode body) {
            return new JobState(
                    body.path(WireNames.NAME_ID).asText(),
                    body.path(WireNames.STATE).asText(),
                    body.path(WireNames.DONE).asInt(),
                    body.path(WireNames.RUNNING).asInt());
        }
    }

    /** The body of an answer about a job, see {@link JobState}. */
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
}
