package stileferry.cluster;

/**
 * One start of a gang, under the attempt number that all of its tasks carry. No task may hear of it before the claims
 * of all tasks are durable, or another leader might find and start only a part of the gang.
 *
 * <p>Each attempt counts its own claims: those of an attempt that was given up become durable later, and counted for
 * the next attempt they would let it start too early.
 */
public final class GangAttempt {
    private int assignmentsNotDurable;

    public GangAttempt(int tasks) {
        this.assignmentsNotDurable = tasks;
    }

    /** Takes in that one more claim is durable; true when it was the last one. */
    public boolean assignmentDurable() {
        return --assignmentsNotDurable == 0;
    }

    /** Whether the claims of all tasks are durable, so that the tasks may be started. */
    boolean startable() {
        return assignmentsNotDurable == 0;
    }
}
