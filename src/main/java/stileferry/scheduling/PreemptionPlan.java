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

/** What has been decided so far in one turn. It can be copied, to try one way to free capacity among several. */
final class PreemptionPlan {
    private static final Resources NOTHING = new Resources();

    private final List<Preemption.Stop> stops = new ArrayList<>();
    private final Set<TaskAssignment> stopping = new HashSet<>();
    private final Map<String, Resources> reservedByMachine = new HashMap<>();
    private final Map<String, Resources> releasedByTeam = new HashMap<>();
    private final List<Reservation> reservations = new ArrayList<>();
    private int imagePulls;
    private long lostWorkMs;

    /** Capacity for one pending task of a job on a machine. */
    record Reservation(Job job, Machine machine) {}

    PreemptionPlan copy() {
        PreemptionPlan copy = new PreemptionPlan();
        copy.stops.addAll(stops);
        copy.stopping.addAll(stopping);
        reservedByMachine.forEach((machine, reserved) -> copy.reservedByMachine.put(machine, reserved.copy()));
        releasedByTeam.forEach((team, released) -> copy.releasedByTeam.put(team, released.copy()));
        copy.reservations.addAll(reservations);
        copy.imagePulls = imagePulls;
        copy.lostWorkMs = lostWorkMs;
        return copy;
    }

    /** Takes in that an assigned task stops, by this plan or because that was requested before. */
    void markStopping(TaskAssignment assignment) {
        stopping.add(assignment);
        releasedByTeam
                .computeIfAbsent(assignment.job().spec().team(), name -> new Resources())
                .add(assignment.job().spec());
    }

    /** Preempts a task, and with it the rest of its gang. */
    void preempt(Preemption.Stop stop) {
        stops.add(stop);
        TaskAssignment victim = stop.victim();
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
     * @param pullsImage whether the machine does not hold the job's image, though the job can't wait for it
     * @param lostMs the work that is lost for this task
     */
    void reserve(Job job, Machine machine, boolean pullsImage, long lostMs) {
        reservedByMachine
                .computeIfAbsent(machine.name(), name -> new Resources())
                .add(job.spec());
        reservations.add(new Reservation(job, machine));
        imagePulls += pullsImage ? 1 : 0;
        lostWorkMs += lostMs;
    }

    boolean isStopping(TaskAssignment assignment) {
        return stopping.contains(assignment);
    }

    /** What is reserved on a machine for pending tasks considered earlier. */
    Resources reservedOn(Machine machine) {
        return reservedByMachine.getOrDefault(machine.name(), NOTHING);
    }

    /** What a team's stopping tasks release. */
    Resources releasedBy(String team) {
        return releasedByTeam.getOrDefault(team, NOTHING);
    }

    List<Preemption.Stop> stops() {
        return stops;
    }

    List<Reservation> reservations() {
        return reservations;
    }

    /** Whether it needs fewer image pulls, or loses less work with as many; anything is better than null. */
    boolean betterThan(PreemptionPlan other) {
        return other == null
                || imagePulls < other.imagePulls
                || imagePulls == other.imagePulls && lostWorkMs < other.lostWorkMs;
    }
}
