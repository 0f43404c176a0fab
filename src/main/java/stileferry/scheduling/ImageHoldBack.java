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
final class ImageHoldBack {
    /** After so many times as long as a job was held back, it may be so again: for another task, or one lost again. */
    private static final int AGAIN_AFTER = 8;

    /** A gang waits for the slowest of its image pulls, which takes up to a third longer than its nominal time. */
    private static final double GANG_PULL_FACTOR = 4 / 3.0;

    /** Half a second in ms: the patience with a job for each second within which it shall start. */
    private static final double PATIENCE_MS_PER_S = 500;

    private final ClusterState cluster;
    private final PlacementConstraints constraints;
    private final StartObjectives objectives;

    ImageHoldBack(ClusterState cluster, PlacementConstraints constraints, StartObjectives objectives) {
        this.cluster = cluster;
        this.constraints = constraints;
        this.objectives = objectives;
    }

    /** Whether the job is held back, though it could start on the selected machines. */
    boolean holdsBack(Job job, List<Machine> selected, long now) {
        if (!eligible(job.spec())
                || GangPlacement.pulls(job, selected) == 0
                || !objectives.missedByPull(
                        job, selected.get(0).type(), job.spec().isGang() ? GANG_PULL_FACTOR : 1)) {
            return false;
        }
        long patienceMs = Math.round(PATIENCE_MS_PER_S * objectives.startWithinS(job));
        if (now - job.heldBackSince() > AGAIN_AFTER * patienceMs) {
            job.holdBack(now);
        }
        return now - job.heldBackSince() <= patienceMs && capacityCanBeFreedAtImage(job, now);
    }

    private static boolean eligible(JobSpec spec) {
        return spec.priority() == JobSpec.Priority.CRITICAL
                || spec.isGang() && spec.priority() == JobSpec.Priority.URGENT;
    }

    /** Whether one task, or a whole gang, would fit on machines with its image if they ran nothing less urgent. */
    private boolean capacityCanBeFreedAtImage(Job job, long now) {
        int wanted = job.spec().isGang() ? job.spec().taskCount() : 1;
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
    boolean heldBack(Job job, long now) {
        return job.heldBackSince() != 0
                && now - job.heldBackSince() <= PATIENCE_MS_PER_S * objectives.startWithinS(job);
    }
}
