package stileferry.scheduling;

import java.util.function.Consumer;
import java.util.function.Predicate;
import stileferry.cluster.ClusterState;
import stileferry.cluster.ImageLocality;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;

/**
 * Selects the machine for one task: the SLOW policy of the paper, lowest average bounded slowdown first, with locality
 * of images and then bin packing, the tightest fit, where slowdowns are alike.
 */
final class MachineSelector {
    /**
     * Average slowdowns are compared in steps of this size: finer differences only say which machine happened to pull
     * an image for its last few tasks, and would lead tasks away from the machines that hold their images.
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

    /** The best of the usable machines on which one more task of the job fits; null: there is none. */
    Machine select(Job job, Predicate<Machine> usable, long now) {
        if (!cluster.withinTeamLimit(job)) {
            return null;
        }
        Search search = new Search(job, usable, now);
        cluster.freeCapacity().visitWithAtLeast(job.spec().cpus(), search);
        return search.best;
    }

    /** Keeps the best of the machines that it visits. */
    private final class Search implements Consumer<Machine> {
        private final Job job;
        private final Predicate<Machine> usable;
        private final long now;
        private Machine best;

        Search(Job job, Predicate<Machine> usable, long now) {
            this.job = job;
            this.usable = usable;
            this.now = now;
        }

        @Override
        public void accept(Machine machine) {
            if (machine.fits(job)
                    && cluster.reservations().leaveCapacity(machine, job)
                    && constraints.allow(job, machine, now)
                    && usable.test(machine)
                    && (best == null || better(job, machine, best))) {
                best = machine;
            }
        }
    }

    /** Whether a machine is the better one of two; a total order, so that the order of visits does not matter. */
    boolean better(Job job, Machine machine, Machine than) {
        return compare(job, machine, than) < 0;
    }

    private int compare(Job job, Machine machine, Machine other) {
        int byImage = compareImages(job, machine, other);
        if (byImage != 0 && objectives.needsImage(job, machine.type())) {
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
            return machine.spot() ? -1 : 1; // ordinary machines are left to work that may not use spot instances
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

    /** The nearer image first; where neither machine has it, the one with fewer pulls, which share its rate. */
    private static int compareImages(Job job, Machine machine, Machine other) {
        String image = job.spec().image();
        ImageLocality locality = machine.imageLocality(image);
        int byLocality = other.imageLocality(image).compareTo(locality);
        return byLocality != 0 || locality != ImageLocality.ABSENT
                ? byLocality
                : Integer.compare(machine.imagesBeingPulled(), other.imagesBeingPulled());
    }

    private static long slowdownSteps(Machine machine) {
        return Math.round(machine.slowdown() / SLOWDOWN_STEP);
    }

    /** The machine with most free CPUs that the job may use, whether a task of it fits or not; null: there is none. */
    Machine withMostFreeCpus(Job job, long now) {
        Machine best = null;
        for (Machine machine : cluster.machines().values()) {
            if (machine.agent().heardThisTerm()
                    && constraints.allow(job, machine, now)
                    && (best == null || machine.freeCpus() > best.freeCpus())) {
                best = machine;
            }
        }
        return best;
    }
}
