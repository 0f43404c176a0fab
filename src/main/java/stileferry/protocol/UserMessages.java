package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The bodies of responses to users. Errors have the same form for users, workers and operators. */
public final class UserMessages {
    private UserMessages() {}

    /** The state of a job as reported to its user, with the numbers of its completed and running tasks. */
    public record JobState(String id, String state, int completedTasks, int runningTasks) {
        /** Reads the body of a response about a job; a missing field is read as empty or 0. */
        public static JobState read(JsonNode body) {
            return new JobState(
                    body.path(WireNames.NAME_ID).asText(),
                    body.path(WireNames.STATE).asText(),
                    body.path(WireNames.DONE).asInt(),
                    body.path(WireNames.RUNNING).asInt());
        }
    }

    /** Returns the body of a response about a job, see {@link JobState}. */
    public static ObjectNode jobState(String id, String state, int completedTasks, int runningTasks) {
        return MessageCodec.map()
                .put(WireNames.NAME_ID, id)
                .put(WireNames.STATE, state)
                .put(WireNames.DONE, completedTasks)
                .put(WireNames.RUNNING, runningTasks);
    }

    /** Returns the body of a rejection with its reason. */
    public static ObjectNode error(String reason) {
        return MessageCodec.map().put(WireNames.ERROR, reason);
    }
}
