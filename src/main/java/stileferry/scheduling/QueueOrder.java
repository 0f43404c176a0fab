package stileferry.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Resources;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;
import stileferry.protocol.OperatorSettings;
import stileferry.protocol.Settings;

/** Orders the queue: overdue jobs first, then by priority, then jobs within their team's quota, then by submission. */
final class QueueOrder {
    private final ClusterState cluster;

    QueueOrder(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** Marks the jobs that, together with their team's earlier jobs, fit the team's quota. */
    void markWithinQuota() {
        Map<String, Resources> requestedByTeam = new HashMap<>();
        for (Job job : cluster.jobs().values()) {
            Settings.Team team = cluster.settings().team(job.spec().team());
            if (team == null || job.cancelled() || !job.accepted()) {
                job.setWithinQuota(false);
                continue;
            }
            Resources requested = requestedByTeam.computeIfAbsent(team.name(), name -> new Resources());
            requested.add(job.spec(), job.unfinishedCount());
            job.setWithinQuota(requested.cpus() <= team.guaranteedCpus()
                    && requested.gpus() <= Math.max(team.guaranteedGpus(), 0));
        }
    }

    /** Returns whether a job has waited too long for its first task; that task alone then goes before all others. */
    boolean overdue(Job job, long timeOfDay) {
        return !job.started()
                && job.assignments().isEmpty()
                && timeOfDay - job.submittedAt()
                        > 1000 * cluster.operatorSettings().number(OperatorSettings.BEGIN_WITHIN_S);
    }

    /** Returns whether a job was submitted longer ago than the head protection time. */
    boolean waitsTooLong(Job job, long timeOfDay) {
        return timeOfDay - job.submittedAt()
                > 1000 * cluster.operatorSettings().number(OperatorSettings.HEAD_PROTECTION_S);
    }

    /** Returns the jobs with a pending task that may start now, in queue order. */
    List<Job> queue(long now, long timeOfDay) {
        List<Job> queue = new ArrayList<>();
        for (Job job : cluster.jobs().values()) {
            if (job.nextPendingTask(now) >= 0) {
                queue.add(job);
            }
        }
        queue.sort(Comparator.<Job, Boolean>comparing(job -> !overdue(job, timeOfDay))
                .thenComparing(Job.BY_PRECEDENCE)
                .thenComparingLong(job -> job.submissionOrder()));
        return queue;
    }

    /**
     * Returns the rank as defined by the paper cited in {@link Placement}: the sum of the requested CPUs, GPUs and
     * memory, each relative to the largest machine type.
     */
    double rank(JobSpec spec) {
        double maxCpus = 1;
        double maxGpus = 1;
        double maxMemoryGb = 1;
        for (MachineType type : cluster.machineTypes()) {
            maxCpus = Math.max(maxCpus, type.cpus());
            maxGpus = Math.max(maxGpus, type.gpus());
            maxMemoryGb = Math.max(maxMemoryGb, type.memoryGb());
        }
        return spec.cpus() / maxCpus + spec.gpus() / maxGpus + spec.memoryGb() / maxMemoryGb;
    }
}
