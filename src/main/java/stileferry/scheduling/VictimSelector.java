package stileferry.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.Resources;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.JobSpec;
import stileferry.protocol.Settings;

/** Selects the tasks on a machine to preempt for a job: lowest priority first, then least lost work. */
final class VictimSelector {
    /** How long the first task of an overdue job must have run before it may be preempted. */
    private static final long OVERDUE_MIN_RUNTIME_MS = 30_000;

    private final ClusterState cluster;

    VictimSelector(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** Returns whether any task might be preempted for this job; a cheap check that avoids visiting every machine. */
    boolean hasCandidatesFor(Job job) {
        if (cluster.hasTasksBelowPriority(job.spec().priority())) {
            return true;
        }
        if (job.withinQuota()) {
            for (Settings.Team team : cluster.settings().teams()) {
                if (!team.name().equals(job.spec().team())
                        && cluster.teamLimits().exceedsQuota(team.name(), 0, 0)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns the tasks to preempt on this machine so that one more task of the job fits, or null if none will do. */
    List<TaskAssignment> select(Job job, Machine machine, long now, PreemptionPlan plan) {
        Resources free = Resources.of(machine.type());
        free.subtract(plan.reservedOn(machine));
        free.subtract(job.spec());
        Resources noResources = new Resources();
        List<TaskAssignment> candidates = new ArrayList<>();
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (!plan.isStopping(assignment)) {
                free.subtract(assignment.job().spec());
                if (!justStartedOverdue(assignment, now) && mayPreempt(job, assignment, plan, noResources)) {
                    candidates.add(assignment);
                }
            }
        }
        candidates.sort(Comparator.<TaskAssignment>comparingInt(
                        assignment -> -assignment.job().spec().priority().ordinal())
                .thenComparingLong(assignment -> assignment.preemptionCostMs(now)));
        return select(job, candidates, free, plan);
    }

    private List<TaskAssignment> select(Job job, List<TaskAssignment> candidates, Resources free, PreemptionPlan plan) {
        Resources released = new Resources();
        List<TaskAssignment> victims = new ArrayList<>();
        for (TaskAssignment candidate : candidates) {
            if (free.isNonNegative()) {
                break;
            }
            if (mayPreempt(job, candidate, plan, released)) {
                victims.add(candidate);
                free.add(candidate.job().spec());
                released.add(candidate.job().spec());
            }
        }
        return free.isNonNegative() ? victims : null;
    }

    private static boolean justStartedOverdue(TaskAssignment assignment, long now) {
        return assignment.startedOverdue() && assignment.runtimeMs(now) < OVERDUE_MIN_RUNTIME_MS;
    }

    /**
     * Returns whether a task may be preempted for a job.
     *
     * @param released the resources of the victims that are already selected on the same machine
     */
    private boolean mayPreempt(Job job, TaskAssignment assignment, PreemptionPlan plan, Resources released) {
        JobSpec victim = assignment.job().spec();
        int byPriority = job.spec().priority().compareTo(victim.priority());
        if (byPriority != 0) {
            // Tasks of higher priority are not preempted for a quota: they would return to the head of the queue
            // immediately and be preempted again and again.
            return byPriority < 0;
        }
        Resources releasedByTeam = plan.releasedBy(victim.team());
        return job.withinQuota()
                && !assignment.job().withinQuota()
                && !victim.team().equals(job.spec().team())
                && cluster.teamLimits()
                        .exceedsQuota(
                                victim.team(),
                                releasedByTeam.cpus() + released.cpus(),
                                releasedByTeam.gpus() + released.gpus());
    }
}
