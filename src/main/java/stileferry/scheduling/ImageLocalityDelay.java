package stileferry.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.protocol.JobSpec;

/**
 * Holds critical tasks and urgent gangs back from machines that would have to pull their image, while preemption can
 * free capacity on machines that hold it: a moment of less urgent work costs less than their users' wait. It does so
 * for half of the time within which the tasks shall start.
 */
final class ImageLocalityDelay {
    /** After so many times as long as a job was held back, it may be so again: for another task, or one lost again. */
    private static final int REPEAT_AFTER_MAX_DELAYS = 8;

    /** A gang waits for the slowest of its image pulls, which takes up to a third longer than its nominal time. */
    private static final double GANG_PULL_TIME_FACTOR = 4 / 3.0;

    /** Half a second in ms: the patience with a job for each second within which it shall start. */
    private static final double MAX_DELAY_MS_PER_OBJECTIVE_S = 500;

    private final ClusterState cluster;
    private final PlacementConstraints constraints;
    private final StartObjectives objectives;

    ImageLocalityDelay(ClusterState cluster, PlacementConstraints constraints, StartObjectives objectives) {
        this.cluster = cluster;
        this.constraints = constraints;
        this.objectives = objectives;
    }

    /** Whether the job is held back, though it could start on the selected machines. */
    boolean shouldDelay(Job job, List<Machine> selected, long now) {
        if (!isEligible(job.spec())
                || GangPlacement.imagePullCount(job, selected) == 0
                || !objectives.pullMissesObjective(
                        job, selected.get(0).type(), job.spec().gang() ? GANG_PULL_TIME_FACTOR : 1)) {
            return false;
        }
        long patienceMs = Math.round(MAX_DELAY_MS_PER_OBJECTIVE_S * objectives.startWithinS(job));
        if (now - job.localityDelaySince() > REPEAT_AFTER_MAX_DELAYS * patienceMs) {
            job.startLocalityDelay(now);
        }
        return now - job.localityDelaySince() <= patienceMs && preemptionCanFreeCapacityWithImage(job, now);
    }

    private static boolean isEligible(JobSpec spec) {
        return spec.priority() == JobSpec.Priority.CRITICAL
                || spec.gang() && spec.priority() == JobSpec.Priority.URGENT;
    }

    /** Whether one task, or a whole gang, would fit on machines with its image if they ran nothing less urgent. */
    private boolean preemptionCanFreeCapacityWithImage(Job job, long now) {
        int wanted = job.spec().gang() ? job.spec().taskCount() : 1;
        Map<String, Integer> fittingByZone = new HashMap<>();
        for (Machine machine : cluster.machines().values()) {
            if (machine.agent().heardThisTerm()
                    && machine.hasImage(job.spec().image())
                    && constraints.allow(job, machine, now)) {
                String zone = job.spec().oneZone() ? machine.zone() : "";
                int fitting = fittingByZone.merge(zone, machine.tasksFittingWithPreemption(job), Integer::sum);
                if (fitting >= wanted) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Whether capacity is being freed for this job, so that no machine has to be requested for it. */
    boolean isDelayed(Job job, long now) {
        return job.localityDelaySince() != 0
                && now - job.localityDelaySince() <= MAX_DELAY_MS_PER_OBJECTIVE_S * objectives.startWithinS(job);
    }
}
