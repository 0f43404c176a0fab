package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;

/**
 * The status of a worker and its tasks, sent by the agent on the worker's machine.
 *
 * @param incarnation the incarnation of the worker's agent
 * @param sequence the heartbeat's sequence number within the incarnation
 * @param fencingToken the highest fencing token that the worker has accepted
 * @param reclaimNoticeS seconds until the spot instance is reclaimed; -1 if no notice was given
 * @param encodedTasks the encoded body from the task list on; null if the list was not the last field
 */
public record Heartbeat(
        String machine,
        String address,
        String machineType,
        String zone,
        boolean spot,
        long incarnation,
        long sequence,
        long fencingToken,
        double reclaimNoticeS,
        List<TaskStatus> tasks,
        byte[] encodedTasks) {

    /** The phase of a task on its worker; a gang's task that has its image waits for the other tasks of the gang. */
    public enum TaskPhase implements HasWireName {
        PULLING_IMAGE("pulling"),
        WAITING_FOR_GANG("waiting"),
        RUNNING("running"),
        SAVING_CHECKPOINT("saving"),
        EXITED("exited");

        /** Cached, because values() copies the array on each call and is needed for each task of each heartbeat. */
        private static final TaskPhase[] VALUES = values();

        private final String wireName;

        TaskPhase(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name of the phase in heartbeats. */
        @Override
        public String wireName() {
            return wireName;
        }

        /** Returns the phase with this wire name; a name that a later version may add is read as the first phase. */
        static TaskPhase of(String wireName) {
            return HasWireName.byWireName(VALUES, wireName, PULLING_IMAGE);
        }
    }

    /** The status of one task; the exit reason is meaningful only if the task has exited. */
    public record TaskStatus(
            String taskId, long attempt, TaskPhase phase, ExitReason exitReason, boolean checkpointSaved) {
        /** Returns an id that is unique among the attempts of all tasks. */
        public String attemptId() {
            return taskId + "#" + attempt;
        }
    }

    /** Reads a heartbeat from an encoded body; returns null if it is malformed. */
    public static Heartbeat read(byte[] body) {
        return read(body, machine -> null);
    }

    /**
     * Reads a heartbeat from an encoded body; returns null if it is malformed. Most heartbeats have the same tasks as
     * the previous one of their machine: a list that is identical to the byte is not parsed again, but reused.
     *
     * @param lastHeartbeatOf returns the last heartbeat of the machine with this name, or null if there is none
     */
    public static Heartbeat read(byte[] body, Function<String, Heartbeat> lastHeartbeatOf) {
        return HeartbeatReader.read(body, lastHeartbeatOf);
    }

    /** Reads a heartbeat from the decoded body of a worker's response; returns null if it is malformed. */
    public static Heartbeat read(JsonNode node) {
        return HeartbeatReader.read(node);
    }

    /** Returns whether another encoded body holds the same tasks, and nothing else, from this position on. */
    boolean hasSameEncodedTasks(byte[] body, int from) {
        return encodedTasks != null && Arrays.equals(body, from, body.length, encodedTasks, 0, encodedTasks.length);
    }
}
