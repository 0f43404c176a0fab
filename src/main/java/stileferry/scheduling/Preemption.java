package stileferry.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.cluster.ZoneAllowance;
import stileferry.protocol.JobSpec;

/**
 * Plans preemptions to free capacity for waiting jobs. A job may preempt tasks of lower priority and, if it is within
 * its team's quota, tasks that another team runs beyond its own quota. Machines on which the least work is lost are
 * used first, and tasks are preempted only if that frees enough capacity.
 */
final class Preemption {
    /** The budget of machine visits per planning run that is added for each machine. */
    private static final int VISIT_BUDGET_PER_MACHINE = 6;

    /**
     * The budget of machine visits per planning run on top of that, so that each run covers all jobs in a small
     * cluster. That many visits are cheap at any cluster size.
     */
    private static final int BASE_VISIT_BUDGET = 2000;

    /** Victims may save a checkpoint if at least this many saves fit into the start objective of the preempting job. */
    private static final double MIN_CHECKPOINT_SAVES_WITHIN_START = 2;

    /** The share of its start objective for which a gang waits for free capacity before it may preempt others. */
    private static final double GANG_WAIT_SHARE = 0.25;

    private final ClusterState cluster;
    private final Placement placement;
    private final PlacementConstraints constraints;
    private final StartObjectives objectives;
    private final VictimSelector victimSelector;
    private int visitsLeft;
    private HeadProtection headProtection;

    Preemption(ClusterState cluster, Placement placement) {
        this.cluster = cluster;
        this.placement = placement;
        this.constraints = placement.constraints();
        this.objectives = placement.startObjectives();
        this.victimSelector = new VictimSelector(cluster);
    }

    /** A planned preemption: the task, its grace period in seconds, and the job that gets the capacity. */
    record PlannedPreemption(TaskAssignment victim, double graceS, Job preemptor) {}

    /** A machine on which capacity for one more task can be freed, with the cost of freeing it. */
    private record Candidate(Machine machine, List<TaskAssignment> victims, boolean pullsImage, long lostWorkMs) {}

    /**
     * Plans preemptions for the waiting jobs, in queue order, and reserves the capacity for them. Capacity that is
     * already being freed goes to the first job that fits it.
     *
     * @param bootMs how long a requested machine takes to boot, in milliseconds; jobs of normal priority that are not
     *     within their quota have to wait for as long before they may preempt
     * @param timeOfDay the wall-clock time, in milliseconds since the epoch
     * @return the tasks to stop
     */
    List<PlannedPreemption> plan(List<Job> waiting, long now, long bootMs, long timeOfDay) {
        PreemptionPlan plan = new PreemptionPlan();
        cluster.stoppingTasks().forEach(plan::markStopping);
        Map<List<Object>, UnplaceableRequests> unplaceableByEntitlement = new HashMap<>();
        headProtection = waiting.isEmpty() ? null : new HeadProtection(placement, waiting.get(0), now, timeOfDay);
        visitsLeft = VISIT_BUDGET_PER_MACHINE * cluster.machines().size() + BASE_VISIT_BUDGET;
        for (Job job : waiting) {
            if (visitsLeft <= 0) {
                break; // the remaining jobs are left to a later planning run
            }
            int tasks = cluster.teamLimits()
                    .startableTasks(job, plan.reservedFor(job.spec().team()));
            if (tasks == 0 || !mayPreempt(job, timeOfDay, bootMs) || !victimSelector.hasCandidatesFor(job)) {
                continue;
            }
            if (job.spec().isGang()) {
                plan = freeCapacityForGang(job, tasks, now, plan);
                continue;
            }
            UnplaceableRequests unplaceable = unplaceableByEntitlement.computeIfAbsent(
                    List.of(job.spec().priority(), job.withinQuota(), job.spec().team()),
                    any -> new UnplaceableRequests());
            if (!unplaceable.cover(job) && freeCapacity(job, tasks, new ZoneAllowance(job), now, plan) == 0) {
                unplaceable.add(job);
            }
        }
        cluster.reservations().clear();
        plan.reservations()
                .forEach(reservation -> cluster.reservations().add(reservation.job(), reservation.machine()));
        return plan.preemptions();
    }

    private boolean mayPreempt(Job job, long timeOfDay, long bootMs) {
        if (job.withinQuota() || job.spec().priority().compareTo(JobSpec.Priority.URGENT) <= 0) {
            return true;
        }
        long waitedMs = timeOfDay - job.submittedAt();
        // a gang with a short start objective doesn't wait for a requested machine, which would boot too late for it
        double maxWaitMs =
                job.spec().isGang() ? Math.min(bootMs, GANG_WAIT_SHARE * 1000 * objectives.startWithinS(job)) : bootMs;
        return job.spec().priority() == JobSpec.Priority.NORMAL && waitedMs > maxWaitMs;
    }

    /**
     * Frees capacity for all tasks of a gang or for none, as capacity for a part of it is of no use. If the tasks have
     * to run in one zone, the zone with the fewest image pulls and then the least lost work is used.
     *
     * @param tasks the number of the gang's pending tasks
     * @return the plan with the preemptions for the gang, or the unchanged plan if the capacity can't be freed
     */
    private PreemptionPlan freeCapacityForGang(Job gang, int tasks, long now, PreemptionPlan before) {
        PreemptionPlan best = null;
        for (ZoneAllowance zones : zoneAlternatives(gang)) {
            PreemptionPlan alternative = before.copy();
            if (freeCapacity(gang, tasks, zones, now, alternative) == tasks && alternative.isBetterThan(best)) {
                best = alternative;
            }
        }
        return best == null ? before : best;
    }

    private List<ZoneAllowance> zoneAlternatives(Job gang) {
        if (!gang.spec().oneZone()) {
            return List.of(new ZoneAllowance(gang));
        }
        return cluster.settings().zones().stream()
                .map(zone -> ZoneAllowance.in(zone, gang))
                .toList();
    }

    /**
     * Frees capacity for pending tasks of a job, as many as possible.
     *
     * @param tasks the number of tasks that may start if there is capacity
     * @param zones the zones to use; the planned tasks are recorded in it
     * @return the number of tasks for which capacity is freed
     */
    private int freeCapacity(Job job, int tasks, ZoneAllowance zones, long now, PreemptionPlan plan) {
        PriorityQueue<Candidate> candidates = findCandidates(job, zones, now, plan);
        int freedTasks = 0;
        while (freedTasks < tasks && visitsLeft > 0 && !candidates.isEmpty()) {
            Candidate best = candidates.poll();
            visitsLeft--;
            // preemptions planned since may have made it more expensive or ruled it out
            Candidate current = findCandidate(job, best.machine, zones, now, plan);
            if (current == null || current.lostWorkMs > best.lostWorkMs) {
                addUnlessNull(candidates, current);
                continue;
            }
            addToPlan(job, current, plan);
            zones.plan(best.machine.zone(), 1);
            freedTasks++;
            addUnlessNull(candidates, findCandidate(job, best.machine, zones, now, plan));
        }
        return freedTasks;
    }

    /**
     * Returns the machines on which capacity can be freed: those without an image pull first, then by least lost work.
     */
    private PriorityQueue<Candidate> findCandidates(Job job, ZoneAllowance zones, long now, PreemptionPlan plan) {
        PriorityQueue<Candidate> candidates = new PriorityQueue<>(Comparator.comparing(Candidate::pullsImage)
                .thenComparingLong(Candidate::lostWorkMs)
                .thenComparing(Candidate::machine));
        Predicate<Machine> usable = headProtection.usableMachines(job);
        for (Machine machine : cluster.machines().values()) {
            if (machine.agent().heardThisTerm() && constraints.allow(job, machine, now) && usable.test(machine)) {
                visitsLeft--;
                addUnlessNull(candidates, findCandidate(job, machine, zones, now, plan));
            }
        }
        return candidates;
    }

    private static void addUnlessNull(PriorityQueue<Candidate> candidates, Candidate candidate) {
        if (candidate != null) {
            candidates.add(candidate);
        }
    }

    private void addToPlan(Job job, Candidate candidate, PreemptionPlan plan) {
        plan.reserve(job, candidate.machine, candidate.pullsImage, candidate.lostWorkMs);
        for (TaskAssignment victim : candidate.victims) {
            double graceS = mustStartBeforeCheckpoint(job, victim)
                    ? 0
                    : victim.job().spec().checkpointSaveS();
            plan.preempt(new PlannedPreemption(victim, graceS, job));
        }
    }

    /** Returns how capacity for one more task can be freed on a machine, or null if that is not possible. */
    private Candidate findCandidate(Job job, Machine machine, ZoneAllowance zones, long now, PreemptionPlan plan) {
        if (zones.remaining(machine.zone()) == 0) {
            return null;
        }
        List<TaskAssignment> victims = victimSelector.select(job, machine, now, plan);
        if (victims == null) {
            return null;
        }
        long lostWorkMs = 0;
        for (TaskAssignment victim : victims) {
            lostWorkMs += victim.preemptionCostMs(now);
        }
        boolean pullsImage = objectives.requiresCachedImage(job, machine.type())
                && !machine.hasImage(job.spec().image());
        return new Candidate(machine, victims, pullsImage, lostWorkMs);
    }

    /** Returns whether the job has to start too soon to let the victim save a checkpoint first. */
    private boolean mustStartBeforeCheckpoint(Job job, TaskAssignment victim) {
        double savesS = MIN_CHECKPOINT_SAVES_WITHIN_START * victim.job().spec().checkpointSaveS();
        return job.spec().priority() == JobSpec.Priority.CRITICAL
                || job.spec().isGang() && objectives.startWithinS(job) < savesS
                || job.withinQuota() && objectives.hasQuotaObjectiveBelow(savesS);
    }
}
