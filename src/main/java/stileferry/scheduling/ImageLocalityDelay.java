package stileferry.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.ZoneAllowance;
import stileferry.protocol.JobSpec;

/**
 * Delay scheduling for image locality: delays the start of critical tasks and urgent gangs on machines that would have
 * to pull their image, while preemption can free capacity on machines that have it. Preempting a little work of lower
 * priority costs less than the users' wait for the pull. The delay is at most half of the time within which the tasks
 * should start by their start objective.
 */
final class ImageLocalityDelay {
    /**
     * A job may be delayed again once this many times the maximum delay have passed since its last delay began: for
     * another task, or for one that was lost and has to start again.
     */
    private static final int REPEAT_AFTER_MAX_DELAYS = 8;

    /** A gang waits for the slowest of its image pulls, which takes up to a third longer than the nominal time. */
    private static final double GANG_PULL_TIME_FACTOR = 4 / 3.0;

    /** The maximum delay of a job, in ms per second of its start objective: half of the objective. */
    private static final double MAX_DELAY_MS_PER_OBJECTIVE_S = 500;

    private final ClusterState cluster;
    private final PlacementConstraints constraints;
    private final StartObjectives objectives;

    ImageLocalityDelay(ClusterState cluster, PlacementConstraints constraints, StartObjectives objectives) {
        this.cluster = cluster;
        this.constraints = constraints;
        this.objectives = objectives;
    }

    /** Returns whether the start of the job is to be delayed, although it could start on the selected machines. */
    boolean shouldDelay(Job job, List<Machine> selected, long now) {
        if (!isEligible(job.spec())
                || GangPlacement.imagePullCount(job, selected) == 0
                || !objectives.pullMissesObjective(
                        job, selected.get(0).type(), job.spec().isGang() ? GANG_PULL_TIME_FACTOR : 1)) {
            return false;
        }
        long maxDelayMs = Math.round(MAX_DELAY_MS_PER_OBJECTIVE_S * objectives.startWithinS(job));
        if (now - job.localityDelaySince() > REPEAT_AFTER_MAX_DELAYS * maxDelayMs) {
            job.startLocalityDelay(now);
        }
        return now - job.localityDelaySince() <= maxDelayMs && preemptionCanFreeCapacityWithImage(job, now);
    }

    private static boolean isEligible(JobSpec spec) {
        return spec.priority() == JobSpec.Priority.CRITICAL
                || spec.isGang() && spec.priority() == JobSpec.Priority.URGENT;
    }

    /**
     * Returns whether one task, or all tasks of a gang, would fit on machines with the image if all tasks of lower
     * priority were preempted there.
     */
    private boolean preemptionCanFreeCapacityWithImage(Job job, long now) {
        int requiredTasks = job.spec().isGang() ? job.spec().taskCount() : 1;
        ZoneAllowance zones = new ZoneAllowance(job);
        Map<String, Integer> fittingTasksByZone = new HashMap<>();
        for (Machine machine : cluster.machines().values()) {
            if (machine.agent().heardThisTerm()
                    && machine.hasImage(job.spec().image())
                    && constraints.allow(job, machine, now)) {
                String zone = job.spec().oneZone() ? machine.zone() : "";
                int fittingHere = Math.min(machine.tasksFittingWithPreemption(job), zones.remaining(machine.zone()));
                if (job.spec().spreadAcrossZones()) {
                    zones.plan(machine.zone(), fittingHere);
                }
                if (fittingTasksByZone.merge(zone, fittingHere, Integer::sum) >= requiredTasks) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns whether the time for which the job may be delayed has begun and not ended yet. Until then capacity is
     * being freed for the job, so no machine has to be requested for it.
     */
    boolean isDelayed(Job job, long now) {
        return job.localityDelaySince() != 0
                && now - job.localityDelaySince() <= MAX_DELAY_MS_PER_OBJECTIVE_S * objectives.startWithinS(job);
    }
}
