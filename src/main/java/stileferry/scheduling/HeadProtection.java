package stileferry.scheduling;

import java.util.function.Predicate;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;

/**
 * Keeps machines for the head of the queue, the first job that may start if there is capacity. Once the head has waited
 * for longer than the head protection time, other jobs may use only machines of types that it can't use; while it is
 * overdue, all except one on which it can begin.
 */
final class HeadProtection {
    private final Placement placement;
    private final Job head;
    private final long now;
    private final boolean keepsAllMachines;
    private final boolean keepsOneMachine;
    private boolean oneMachineSelected;
    private Machine keptMachine;

    /** Protects a head of the queue at this time; the machine for an overdue head is selected when it is needed. */
    HeadProtection(Placement placement, Job head, long now, long timeOfDay) {
        this.placement = placement;
        this.head = head;
        this.now = now;
        this.keepsAllMachines = placement.waitsTooLong(head, timeOfDay);
        this.keepsOneMachine = placement.overdue(head, timeOfDay);
    }

    Job head() {
        return head;
    }

    /** Returns which machines a job may use without delaying the head. */
    Predicate<Machine> usableMachines(Job job) {
        if (job == head) {
            return machine -> true;
        }
        if (keepsAllMachines) {
            return machine -> !head.spec().fitsMachineType(machine.type());
        }
        if (keepsOneMachine) {
            Machine kept = keptMachine();
            return machine -> machine != kept;
        }
        return machine -> true;
    }

    private Machine keptMachine() {
        if (!oneMachineSelected) {
            oneMachineSelected = true;
            keptMachine = placement.selector().machineToKeepFor(head, now);
        }
        return keptMachine;
    }
}
