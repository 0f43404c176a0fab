package stileferry.heartbeat;

import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.Heartbeat;

/**
 * Decides when a machine's fencing token is raised. Attempts that have ended and are not fenced stay in the agent's
 * memory, so that a late copy of their start does nothing, until one raise of the token fences all of them.
 */
final class HeldAttempts {
    /** Ended attempts that a machine holds at most; each adds its line to every heartbeat of the machine. */
    private static final int MAX_HELD = 16;

    private HeldAttempts() {}

    /** Returns whether a raise of the token is needed before the machine's next commands. */
    static boolean needRaise(Machine machine) {
        int held = 0;
        for (Heartbeat.TaskStatus status : machine.reportedTasks()) {
            if (held(machine, status)) {
                held++;
                if (held >= MAX_HELD || startsAnew(machine, status)) {
                    return true;
                }
            }
        }
        return hasUnseenStoppedStart(machine);
    }

    /**
     * Returns the number of held attempts in a status if they can rest, or -1 if the next response to a heartbeat has
     * to clear them.
     */
    static int countRestingAttempts(Machine machine, Heartbeat heartbeat) {
        int held = 0;
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            held += held(machine, status) ? 1 : 0;
        }
        return held < MAX_HELD ? held : -1;
    }

    /** Returns whether an attempt has ended and could be cleared if it were fenced. */
    private static boolean held(Machine machine, Heartbeat.TaskStatus status) {
        return status.phase() == Heartbeat.TaskPhase.EXITED
                && !machine.isAssigned(status)
                && !machine.agent().startFence().fenced(status.attemptId())
                && !machine.agent().hasNonDurableOutcome(status.attemptId());
    }

    /** Returns whether a new attempt of the task waits to start, which the agent may refuse while it knows this one. */
    private static boolean startsAnew(Machine machine, Heartbeat.TaskStatus status) {
        TaskAssignment assignment = machine.assignments().get(status.taskId());
        return assignment != null && assignment.phase() == null;
    }

    /** Returns whether a task is to stop that was started directly, and that the agent has not reported. */
    private static boolean hasUnseenStoppedStart(Machine machine) {
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (assignment.stopping()
                    && assignment.phase() == null
                    && !machine.agent().startFence().fenced(assignment.attemptId())) {
                return true;
            }
        }
        return false;
    }
}
