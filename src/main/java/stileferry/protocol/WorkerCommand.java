package stileferry.protocol;

/**
 * A command to a worker about one attempt of a task.
 *
 * @param graceS the grace period in seconds; means something only for {@link Kind#KILL}
 */
public record WorkerCommand(Kind kind, String taskId, long attempt, double graceS) {
    /** What a command asks for. */
    public enum Kind {
        RUN("run"),
        KILL("kill"),
        CLEAR("clear");

        private final String wireName;

        Kind(String wireName) {
            this.wireName = wireName;
        }

        /** The word that stands for it in messages. */
        public String wireName() {
            return wireName;
        }
    }

    /** Identifies the attempt among those of all tasks. */
    public String attemptId() {
        return taskId + "#" + attempt;
    }
}
