package stileferry.cluster;

/**
 * One attempt to start a gang; all tasks of the gang have the same attempt number. No start command may be sent to a
 * machine before the assignments of all tasks are durable. Otherwise another leader might find and start only a part of
 * the gang.
 *
 * <p>Each attempt counts its own assignments. Assignments of an abandoned attempt may still become durable later; if
 * they were counted for the next attempt, that attempt would start too early.
 */
public final class GangAttempt {
    private int nonDurableAssignments;

    /** Creates an attempt with the given number of tasks, none of whose assignments is durable yet. */
    public GangAttempt(int taskCount) {
        this.nonDurableAssignments = taskCount;
    }

    /** Records that one more assignment has become durable, and returns whether it was the last one. */
    public boolean recordDurableAssignment() {
        return --nonDurableAssignments == 0;
    }

    /** Returns whether the assignments of all tasks are durable, so that the tasks may be started. */
    boolean startable() {
        return nonDurableAssignments == 0;
    }
}
