package stileferry.cluster;

/**
 * One start of a gang, under the attempt number that all of its tasks carry. No machine may hear of it before the
 * assignments of all tasks are durable, or another leader might find and start only a part of the gang.
 *
 * <p>Each attempt counts its own assignments: those of an attempt that was given up may become durable later, and
 * counted for the next attempt they would let it start too early.
 */
public final class GangAttempt {
    private int nonDurableAssignments;

    /** An attempt of which no task's assignment is durable yet. */
    public GangAttempt(int tasks) {
        this.nonDurableAssignments = tasks;
    }

    /** Takes in that one more assignment is durable; true if it was the last one. */
    public boolean recordDurableAssignment() {
        return --nonDurableAssignments == 0;
    }

    /** Whether the assignments of all tasks are durable, so that the tasks may be started. */
    boolean startable() {
        return nonDurableAssignments == 0;
    }
}
