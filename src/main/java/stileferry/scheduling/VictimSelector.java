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

/** Selects the tasks on a machine to be preempted for a job: the lowest priority first, then the least lost work. */
final class VictimSelector {
    /** The first task of an overdue job runs for so long before it may be preempted. */
    private static final long OVERDUE_MIN_RUNTIME_MS = 30_000;

    private final ClusterState cluster;

    VictimSelector(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** Whether any task might be preempted for this job; spares a look at every machine. */
    boolean hasCandidatesFor(Job job) {
        if (cluster.hasTasksBelowPriority(job.spec().priority())) {
            return true;
        }
        if (job.withinQuota()) {
            for (Settings.Team team : cluster.settings().teams()) {
                if (!team.name().equals(job.spec().team()) && cluster.exceedsQuota(team.name(), 0, 0)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** The tasks to preempt on this machine so that one more task of the job fits; null: that can't be done. */
    List<TaskAssignment> select(Job job, Machine machine, long now, PreemptionPlan plan) {
        Resources free = Resources.of(machine.type());
        free.subtract(plan.reservedOn(machine));
        free.subtract(job.spec());
        Resources nothing = new Resources();
        List<TaskAssignment> candidates = new ArrayList<>();
        for (TaskAssignment assignment : machine.assignments().values()) {
            if (!plan.isStopping(assignment)) {
                free.subtract(assignment.job().spec());
                if (!justStartedOverdue(assignment, now) && mayPreempt(job, assignment, plan, nothing)) {
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

    /** Whether a task may be preempted for a job, after so much was released on the same machine already. */
    private boolean mayPreempt(Job job, TaskAssignment assignment, PreemptionPlan plan, Resources released) {
        JobSpec victim = assignment.job().spec();
        int byPriority = job.spec().priority().compareTo(victim.priority());
        if (byPriority != 0) {
            // A quota is not met by preempting more urgent work of another team: that would come back at once as the
            // head of the queue and be preempted again and again.
            return byPriority < 0;
        }
        Resources releasedByTeam = plan.releasedBy(victim.team());
        return job.withinQuota()
                && !assignment.job().withinQuota()
                && !victim.team().equals(job.spec().team())
                && cluster.exceedsQuota(
                        victim.team(),
                        releasedByTeam.cpus() + released.cpus(),
                        releasedByTeam.gpus() + released.gpus());
    }
}
