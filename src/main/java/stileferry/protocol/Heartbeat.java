package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;

/**
 * What a worker says of itself.
 *
 * @param incarnation the incarnation of the worker's agent
 * @param sequence the heartbeat's number in its incarnation
 * @param fencingToken the highest that the worker has accepted
 * @param reclaimNoticeS seconds until the spot instance is reclaimed; -1: no notice was given
 * @param encodedTasks the end of the body, from the list of tasks on; null when the list was not the last field
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

    /** Where a task stands on its worker; a gang's task that has its image waits for the others. */
    public enum TaskPhase implements HasWireName {
        PULLING_IMAGE("pulling"),
        WAITING_FOR_GANG("waiting"),
        RUNNING("running"),
        SAVING_CHECKPOINT("saving"),
        EXITED("exited");

        /** Kept, as each call of values() makes a new array, and this is asked for each task of each heartbeat. */
        private static final TaskPhase[] VALUES = values();

        private final String wireName;

        TaskPhase(String wireName) {
            this.wireName = wireName;
        }

        /** The word that stands for it in heartbeats. */
        @Override
        public String wireName() {
            return wireName;
        }

        /** The phase that a word on the wire stands for; words to come are taken for the first phase. */
        static TaskPhase of(String word) {
            return HasWireName.byWireName(VALUES, word, PULLING_IMAGE);
        }
    }

    /** One task of a heartbeat; the reason means something only if it has exited. */
    public record TaskStatus(
            String taskId, long attempt, TaskPhase phase, ExitReason exitReason, boolean checkpointSaved) {
        /** Identifies the attempt among those of all tasks. */
        public String attemptId() {
            return taskId + "#" + attempt;
        }
    }

    /** Reads a heartbeat's body; null when it is malformed. */
    public static Heartbeat read(byte[] body) {
        return read(body, machine -> null);
    }

    /**
     * Reads a heartbeat's body; null when it is malformed. Most heartbeats tell of the same tasks as the last one of
     * their machine: a list that is the same to the byte is not read again, but taken from there.
     *
     * @param last the last heartbeat of a machine, or null
     */
    public static Heartbeat read(byte[] body, Function<String, Heartbeat> last) {
        return HeartbeatReader.read(body, last);
    }

    /** Reads a heartbeat that came as an answer; null when it is malformed. */
    public static Heartbeat read(JsonNode node) {
        return HeartbeatReader.read(node);
    }

    /** Whether the body of another heartbeat has the same tasks, and nothing else, from this position on. */
    boolean hasSameEncodedTasks(byte[] body, int from) {
        return encodedTasks != null && Arrays.equals(body, from, body.length, encodedTasks, 0, encodedTasks.length);
    }
}
