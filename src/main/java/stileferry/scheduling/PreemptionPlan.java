package stileferry.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.Resources;
import stileferry.cluster.TaskAssignment;

/** The preemptions and reservations planned so far in one planning run. Copies serve to compare alternatives. */
final class PreemptionPlan {
    private static final Resources NO_RESOURCES = new Resources();

    private final List<Preemption.PlannedPreemption> preemptions = new ArrayList<>();
    private final Set<TaskAssignment> stopping = new HashSet<>();
    private final Map<String, Resources> reservedByMachine = new HashMap<>();
    private final Map<String, Resources> releasedByTeam = new HashMap<>();
    private final Map<String, Resources> reservedByTeam = new HashMap<>();
    private final List<Reservation> reservations = new ArrayList<>();
    private int imagePulls;
    private long lostWorkMs;

    /** A reservation of capacity on a machine for one pending task of a job. */
    record Reservation(Job job, Machine machine) {}

    PreemptionPlan copy() {
        PreemptionPlan copy = new PreemptionPlan();
        copy.preemptions.addAll(preemptions);
        copy.stopping.addAll(stopping);
        reservedByMachine.forEach((machine, reserved) -> copy.reservedByMachine.put(machine, reserved.copy()));
        releasedByTeam.forEach((team, released) -> copy.releasedByTeam.put(team, released.copy()));
        reservedByTeam.forEach((team, reserved) -> copy.reservedByTeam.put(team, reserved.copy()));
        copy.reservations.addAll(reservations);
        copy.imagePulls = imagePulls;
        copy.lostWorkMs = lostWorkMs;
        return copy;
    }

    /** Records that an assigned task stops, by this plan or because a stop was requested before. */
    void markStopping(TaskAssignment assignment) {
        stopping.add(assignment);
        releasedByTeam
                .computeIfAbsent(assignment.job().spec().team(), name -> new Resources())
                .add(assignment.job().spec());
    }

    /** Adds the preemption of a task; if the task belongs to a gang, the gang's other tasks stop with it. */
    void preempt(Preemption.PlannedPreemption preemption) {
        preemptions.add(preemption);
        TaskAssignment victim = preemption.victim();
        if (victim.job().spec().isGang()) {
            victim.job().assignments().values().stream()
                    .filter(assignment -> !stopping.contains(assignment))
                    .forEach(this::markStopping);
        } else {
            markStopping(victim);
        }
    }

    /**
     * Reserves capacity for one pending task.
     *
     * @param pullsImage whether the machine lacks the job's image, and pulling it would miss the job's start objective
     * @param victimLostWorkMs the preemption cost of the victims, in milliseconds of lost work
     */
    void reserve(Job job, Machine machine, boolean pullsImage, long victimLostWorkMs) {
        reservedByMachine
                .computeIfAbsent(machine.name(), name -> new Resources())
                .add(job.spec());
        reservedByTeam
                .computeIfAbsent(job.spec().team(), name -> new Resources())
                .add(job.spec());
        reservations.add(new Reservation(job, machine));
        imagePulls += pullsImage ? 1 : 0;
        lostWorkMs += victimLostWorkMs;
    }

    boolean isStopping(TaskAssignment assignment) {
        return stopping.contains(assignment);
    }

    /** Returns the resources reserved on a machine for pending tasks that were planned earlier; not to be modified. */
    Resources reservedOn(Machine machine) {
        return reservedByMachine.getOrDefault(machine.name(), NO_RESOURCES);
    }

    /** Returns the resources reserved for a team's pending tasks that were planned earlier; not to be modified. */
    Resources reservedFor(String team) {
        return reservedByTeam.getOrDefault(team, NO_RESOURCES);
    }

    /** Returns the resources that a team's stopping tasks release; not to be modified. */
    Resources releasedBy(String team) {
        return releasedByTeam.getOrDefault(team, NO_RESOURCES);
    }

    List<Preemption.PlannedPreemption> preemptions() {
        return preemptions;
    }

    List<Reservation> reservations() {
        return reservations;
    }

    /**
     * Returns whether this plan needs fewer image pulls, or as many and loses less work; any plan is better than null.
     */
    boolean isBetterThan(PreemptionPlan other) {
        return other == null
                || imagePulls < other.imagePulls
                || imagePulls == other.imagePulls && lostWorkMs < other.lostWorkMs;
    }
}
