package stileferry.protocol;

/**
 * A command to a worker about one attempt of a task.
 *
 * @param graceS the grace period in seconds; used only for {@link Kind#KILL}
 */
public record WorkerCommand(Kind kind, String taskId, long attempt, double graceS) {
    /** The kinds of commands. */
    public enum Kind {
        RUN("run"),
        KILL("kill"),
        CLEAR("clear");

        private final String wireName;

        Kind(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name of the kind in messages. */
        public String wireName() {
            return wireName;
        }
    }

    /** Returns an id that is unique among the attempts of all tasks. */
    public String attemptId() {
        return taskId + "#" + attempt;
    }
}
