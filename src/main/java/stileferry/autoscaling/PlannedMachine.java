package stileferry.autoscaling;

import stileferry.protocol.JobSpec;

/** The free capacity of a machine that is booting, was requested or is to be requested. */
final class PlannedMachine {
    /** Tolerance for rounding errors in sums of resource amounts. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final InstancePool pool;
    private double freeCpus;
    private double freeGpus;
    private double freeMemoryGb;

    PlannedMachine(InstancePool pool) {
        this.pool = pool;
        this.freeCpus = pool.type().cpus();
        this.freeGpus = pool.type().gpus();
        this.freeMemoryGb = pool.type().memoryGb();
    }

    /** Returns whether a task may run on this machine, and fits beside those already placed on it. */
    boolean fits(JobSpec spec) {
        return (spec.allowsSpot() || !pool.spot())
                && (spec.zone() == null || spec.zone().equals(pool.zone()))
                && spec.fitsMachineType(pool.type())
                && spec.cpus() <= freeCpus + ROUNDING_TOLERANCE
                && spec.gpus() <= freeGpus + ROUNDING_TOLERANCE
                && spec.memoryGb() <= freeMemoryGb + ROUNDING_TOLERANCE;
    }

    /** Places as many of the tasks as fit, and returns their number. */
    int place(JobSpec spec, int tasks) {
        int placed = 0;
        while (placed < tasks && fits(spec)) {
            freeCpus -= spec.cpus();
            freeGpus -= spec.gpus();
            freeMemoryGb -= spec.memoryGb();
            placed++;
        }
        return placed;
    }

    InstancePool pool() {
        return pool;
    }

    String zone() {
        return pool.zone();
    }

    double freeCpus() {
        return freeCpus;
    }
}
