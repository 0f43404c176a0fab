package stileferry.scheduling;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.JobSpec;

/**
 * Frees capacity for jobs that may ask for it: by preempting work of lower priority, or work that another team runs
 * beyond its quota when the waiting job is within its own. Least lost work first, and only if it frees enough.
 */
final class Preemption {
    /** Machines visited in one turn, as a multiple of all. */
    private static final int VISITS_PER_MACHINE = 6;

    /** Visits that cost little whatever the size, so that a small cluster decides for all jobs in each turn. */
    private static final int MIN_VISITS = 2000;

    /** Victims may save a checkpoint if so many saves fit into the time within which the work shall start. */
    private static final double SAVES_WITHIN_START = 2;

    /** The share of its time to start that a gang waits for free capacity before others are preempted for it. */
    private static final double GANG_PATIENCE = 0.25;

    private final ClusterState cluster;
    private final PlacementConstraints constraints;
    private final StartObjectives objectives;
    private final VictimSelector victimSelector;
    private int visitsLeft;

    Preemption(ClusterState cluster, Placement placement) {
        this.cluster = cluster;
        this.constraints = placement.constraints();
        this.objectives = placement.startObjectives();
        this.victimSelector = new VictimSelector(cluster);
    }

    /** A decided preemption: the task, its grace period in seconds, and the job that gets the capacity. */
    record Stop(TaskAssignment victim, double graceS, Job forJob) {}

    /** One machine on which capacity can be freed, with what that costs. */
    private record Option(Machine machine, List<TaskAssignment> victims, boolean pullsImage, long lostWorkMs) {}

    /**
     * Decides for the waiting jobs, in queue order, and reserves the capacity for them. Capacity that is being freed
     * already goes to the first that fits it.
     *
     * @param bootMs how long a requested machine boots, which jobs without urgency wait before they may preempt
     */
    List<Stop> decide(List<Job> waiting, long now, long bootMs, long timeOfDay) {
        PreemptionPlan plan = new PreemptionPlan();
        cluster.stoppingTasks().forEach(plan::markStopping);
        Map<List<Object>, UnplaceableRequests> unplaceable = new HashMap<>();
        visitsLeft = VISITS_PER_MACHINE * cluster.machines().size() + MIN_VISITS;
        for (Job job : waiting) {
            if (visitsLeft <= 0) {
                break; // the rest in a later turn
            }
            if (!mayPreempt(job, timeOfDay, bootMs) || !cluster.withinTeamLimit(job) || !victimSelector.anyFor(job)) {
                continue;
            }
            if (job.spec().isGang()) {
                plan = freeForGang(job, now, plan);
                continue;
            }
            UnplaceableRequests alike = unplaceable.computeIfAbsent(
                    List.of(job.spec().priority(), job.withinQuota(), job.spec().team()),
                    any -> new UnplaceableRequests());
            if (!alike.cover(job) && free(job, null, now, plan) == 0) {
                alike.add(job);
            }
        }
        cluster.reservations().clear();
        plan.reservations()
                .forEach(reservation -> cluster.reservations().add(reservation.job(), reservation.machine()));
        return plan.stops();
    }

    private boolean mayPreempt(Job job, long timeOfDay, long bootMs) {
        if (job.withinQuota() || job.spec().priority().compareTo(JobSpec.Priority.URGENT) <= 0) {
            return true;
        }
        long waitedMs = timeOfDay - job.acceptedAt();
        // a machine to be requested boots too late for a gang that is to start soon, so it doesn't wait for one
        double patienceMs =
                job.spec().isGang() ? Math.min(bootMs, GANG_PATIENCE * 1000 * objectives.startWithinS(job)) : bootMs;
        return job.spec().priority() == JobSpec.Priority.NORMAL && waitedMs > patienceMs;
    }

    /**
     * Capacity for a part of a gang helps nobody: it is freed for all tasks or not at all, and where they must be in
     * one zone, in the one with the fewest image pulls and the least lost work. Returns the plan to go on with.
     */
    private PreemptionPlan freeForGang(Job gang, long now, PreemptionPlan before) {
        int tasks = gang.pendingCount();
        PreemptionPlan best = null;
        for (String zone :
                gang.spec().oneZone() ? cluster.settings().zones() : Collections.<String>singletonList(null)) {
            PreemptionPlan here = before.copy();
            if (free(gang, zone, now, here) == tasks && here.betterThan(best)) {
                best = here;
            }
        }
        return best == null ? before : best;
    }

    /**
     * Frees capacity for as many pending tasks of a job as it can, in one zone or (null) in any.
     *
     * @return for how many
     */
    private int free(Job job, String zone, long now, PreemptionPlan plan) {
        PriorityQueue<Option> options = options(job, zone, now, plan);
        int freed = 0;
        int tasks = job.pendingCount();
        while (freed < tasks && visitsLeft > 0 && !options.isEmpty()) {
            Option best = options.poll();
            visitsLeft--;
            // what was decided since may have made it dearer, or not allowed any more
            Option current = option(job, best.machine, now, plan);
            if (current == null || current.lostWorkMs > best.lostWorkMs) {
                addUnlessNull(options, current);
                continue;
            }
            take(job, current, plan);
            freed++;
            addUnlessNull(options, option(job, best.machine, now, plan));
        }
        return freed;
    }

    /** The machines on which capacity can be freed, the best first. */
    private PriorityQueue<Option> options(Job job, String zone, long now, PreemptionPlan plan) {
        PriorityQueue<Option> options = new PriorityQueue<>(Comparator.comparing(Option::pullsImage)
                .thenComparingLong(Option::lostWorkMs)
                .thenComparing(Option::machine));
        for (Machine machine : cluster.machines().values()) {
            if (machine.agent().heardThisTerm()
                    && (zone == null || zone.equals(machine.zone()))
                    && constraints.allow(job, machine, now)) {
                visitsLeft--;
                addUnlessNull(options, option(job, machine, now, plan));
            }
        }
        return options;
    }

    private static void addUnlessNull(PriorityQueue<Option> options, Option option) {
        if (option != null) {
            options.add(option);
        }
    }

    private void take(Job job, Option option, PreemptionPlan plan) {
        plan.reserve(job, option.machine, option.pullsImage, option.lostWorkMs);
        for (TaskAssignment victim : option.victims) {
            double graceS = inHurry(job, victim) ? 0 : victim.job().spec().checkpointSaveS();
            plan.preempt(new Stop(victim, graceS, job));
        }
    }

    /** How capacity for one more task can be freed on a machine; null: it can't. */
    private Option option(Job job, Machine machine, long now, PreemptionPlan plan) {
        List<TaskAssignment> victims = victimSelector.select(job, machine, now, plan);
        if (victims == null) {
            return null;
        }
        long lostWorkMs = 0;
        for (TaskAssignment victim : victims) {
            lostWorkMs += victim.preemptionCostMs(now);
        }
        boolean pullsImage = objectives.needsImage(job, machine.type())
                && !machine.hasImage(job.spec().image());
        return new Option(machine, victims, pullsImage, lostWorkMs);
    }

    /** Whether a job has to start too soon for the victim to save a checkpoint. */
    private boolean inHurry(Job job, TaskAssignment victim) {
        double savesS = SAVES_WITHIN_START * victim.job().spec().checkpointSaveS();
        return job.spec().priority() == JobSpec.Priority.CRITICAL
                || job.spec().isGang() && objectives.startWithinS(job) < savesS
                || job.withinQuota() && objectives.quotaStartsWithin(savesS);
    }
}
