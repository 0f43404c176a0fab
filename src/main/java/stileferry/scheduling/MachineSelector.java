package stileferry.scheduling;

import java.util.function.Consumer;
import java.util.function.Predicate;
import stileferry.cluster.ClusterState;
import stileferry.cluster.ImageLocality;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;

/**
 * Selects the machine for one task by the SLOW policy of the paper cited in {@link Placement}: the machine with the
 * lowest average bounded slowdown. Among machines with similar slowdowns, image locality decides, and then bin packing
 * by tightest fit.
 */
final class MachineSelector {
    /**
     * Average slowdowns are rounded to this step before they are compared. Smaller differences only show which machine
     * happened to pull an image for its last few tasks, and would move tasks away from machines that have their images.
     */
    private static final double SLOWDOWN_STEP = 0.25;

    private final ClusterState cluster;
    private final PlacementConstraints constraints;
    private final StartObjectives objectives;

    MachineSelector(ClusterState cluster, PlacementConstraints constraints, StartObjectives objectives) {
        this.cluster = cluster;
        this.constraints = constraints;
        this.objectives = objectives;
    }

    /** Returns the best of the usable machines on which one more task of the job fits, or null if there is none. */
    Machine select(Job job, Predicate<Machine> usable, long now) {
        if (cluster.teamLimits().startableTasks(job) == 0) {
            return null;
        }
        BestMachineVisitor visitor = new BestMachineVisitor(job, usable, now);
        cluster.freeCapacity().visitWithFreeCpus(job.spec().cpus(), visitor);
        return visitor.best;
    }

    /** Keeps the best of the visited machines that the job may use. */
    private final class BestMachineVisitor implements Consumer<Machine> {
        private final Job job;
        private final Predicate<Machine> usable;
        private final long now;
        private Machine best;

        BestMachineVisitor(Job job, Predicate<Machine> usable, long now) {
            this.job = job;
            this.usable = usable;
            this.now = now;
        }

        @Override
        public void accept(Machine machine) {
            if (machine.fits(job)
                    && cluster.reservations().allow(machine, job)
                    && constraints.allow(job, machine, now)
                    && usable.test(machine)
                    && (best == null || isBetter(job, machine, best))) {
                best = machine;
            }
        }
    }

    /**
     * Returns whether a machine is better for the job than another one. This is a total order, so that the result of a
     * search does not depend on the order of visits, among machines whose types agree on {@link
     * StartObjectives#requiresCachedImage}.
     */
    boolean isBetter(Job job, Machine machine, Machine other) {
        return compare(job, machine, other) < 0;
    }

    private int compare(Job job, Machine machine, Machine other) {
        int byImage = compareImages(job, machine, other);
        if (byImage != 0 && objectives.requiresCachedImage(job, machine.type())) {
            return byImage;
        }
        int bySlowdown = Long.compare(slowdownSteps(machine), slowdownSteps(other));
        if (bySlowdown != 0) {
            return bySlowdown;
        }
        if (byImage != 0) {
            return byImage;
        }
        if (job.spec().allowsSpot() && machine.spot() != other.spot()) {
            return machine.spot() ? -1 : 1; // keeps on-demand machines free for jobs that may not use spot instances
        }
        if (job.spec().isService()) {
            int byZone = Integer.compare(job.tasksInZone(machine.zone()), job.tasksInZone(other.zone()));
            if (byZone != 0) {
                return byZone;
            }
        }
        int byFreeCpus = Double.compare(machine.freeCpus(), other.freeCpus());
        return byFreeCpus != 0 ? byFreeCpus : machine.compareTo(other);
    }

    /**
     * Orders by image locality, best first, and if the image is absent on both, by the fewest images being pulled,
     * because concurrent pulls share the machine's rate.
     */
    private static int compareImages(Job job, Machine machine, Machine other) {
        String image = job.spec().image();
        ImageLocality locality = machine.imageLocality(image);
        int byLocality = other.imageLocality(image).compareTo(locality);
        return byLocality != 0 || locality != ImageLocality.ABSENT
                ? byLocality
                : Integer.compare(machine.imagesBeingPulled(), other.imagesBeingPulled());
    }

    private static long slowdownSteps(Machine machine) {
        return Math.round(machine.averageSlowdown() / SLOWDOWN_STEP);
    }

    /**
     * Returns the machine to keep for a job that has waited too long for its first task, or null if there is none: the
     * one with the most free CPUs among those on which the job will be able to begin, with all of its tasks if it is a
     * gang, once the tasks that end by themselves have ended there.
     */
    Machine machineToKeepFor(Job job, long now) {
        int tasksToBegin = job.spec().isGang() ? job.pendingCount() : 1;
        Machine best = null;
        for (Machine machine : cluster.machines().values()) {
            if (machine.agent().heardThisTerm()
                    && constraints.allow(job, machine, now)
                    && machine.tasksFittingBesideServices(job) >= tasksToBegin
                    && (best == null || machine.freeCpus() > best.freeCpus())) {
                best = machine;
            }
        }
        return best;
    }
}
