package stileferry.lifecycle;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;

/**
 * Quarantines machines on which tasks fail: when tasks of two jobs have failed on a machine since one succeeded, or one
 * job that succeeds elsewhere has failed there twice. A job that fails everywhere counts against no machine.
 */
final class MachineQuarantine {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    /** Sum of the failures' weights, see {@link #failureWeight}, at which a machine is considered faulty. */
    private static final int QUARANTINE_WEIGHT = 2;

    private final ClusterState cluster;
    private final Consumer<TaskAssignment> stopTask;

    /**
     * Creates the quarantine.
     *
     * @param stopTask stops an assigned task, which may save a checkpoint
     */
    MachineQuarantine(ClusterState cluster, Consumer<TaskAssignment> stopTask) {
        this.cluster = cluster;
        this.stopTask = stopTask;
    }

    /** Records that a task of this job has failed on the machine, and quarantines a faulty machine. */
    void recordFailure(Machine machine, Job job) {
        job.failureHistory().recordFailureOn(machine.name());
        machine.recordJobFailure(job.spec().id());
        int weight = 0;
        for (Map.Entry<String, Integer> failures : machine.failuresByJob().entrySet()) {
            weight += failureWeight(cluster.jobs().get(failures.getKey()), failures.getValue());
        }
        if (weight >= QUARANTINE_WEIGHT && !machine.instance().quarantined()) {
            LOG.info("machine quarantined: machine={}", machine.name());
            machine.instance().quarantine();
            List.copyOf(machine.assignments().values()).forEach(stopTask);
        }
    }

    /**
     * Returns how much the failures of a job on one machine count against the machine.
     *
     * @param job the job, or null if it has completed in the meantime
     */
    private static int failureWeight(Job job, int failures) {
        if (job == null) {
            return 1;
        }
        if (job.failureHistory().jobAtFault()) {
            return 0;
        }
        return job.failureHistory().successCount() > 0 ? Math.min(QUARANTINE_WEIGHT, failures) : 1;
    }
}
