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

/** The order of the queue: overdue jobs, then priority, then jobs within their team's quota, then submission. */
final class QueueOrder {
    private final ClusterState cluster;

    QueueOrder(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** Marks the jobs that fit into their team's quota together with the team's earlier jobs. */
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

    /** Whether a job waits too long for its first task: it goes before all others, with that task only. */
    boolean overdue(Job job, long timeOfDay) {
        return !job.started()
                && job.assignments().isEmpty()
                && timeOfDay - job.acceptedAt()
                        > 1000 * cluster.operatorSettings().number(OperatorSettings.BEGIN_WITHIN_S);
    }

    /** The jobs with a pending task that may start now, in queue order. */
    List<Job> queue(long now, long timeOfDay) {
        List<Job> queue = new ArrayList<>();
        for (Job job : cluster.jobs().values()) {
            if (job.nextPendingTask(now) >= 0) {
                queue.add(job);
            }
        }
        queue.sort(Comparator.<Job, Boolean>comparing(job -> !overdue(job, timeOfDay))
                .thenComparing(job -> job.spec().priority())
                .thenComparing(job -> !job.withinQuota())
                .thenComparingLong(job -> job.acceptanceOrder()));
        return queue;
    }

    /** The rank of the paper: requested CPUs, GPUs and memory over the largest machine type's, summed. */
    double rank(JobSpec spec) {
        double mostCpus = 1;
        double mostGpus = 1;
        double mostMemoryGb = 1;
        for (MachineType type : cluster.machineTypes()) {
            mostCpus = Math.max(mostCpus, type.cpus());
            mostGpus = Math.max(mostGpus, type.gpus());
            mostMemoryGb = Math.max(mostMemoryGb, type.memoryGb());
        }
        return spec.cpus() / mostCpus + spec.gpus() / mostGpus + spec.memoryGb() / mostMemoryGb;
    }
}
