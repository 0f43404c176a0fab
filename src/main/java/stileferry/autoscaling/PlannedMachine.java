package stileferry.autoscaling;

import stileferry.protocol.JobSpec;

/** The free capacity of a machine that boots, was requested or is to be requested. */
final class PlannedMachine {
    /** Sums of amounts may be off by this much. */
    private static final double ROUNDING = 1e-6;

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

    /** Whether a task may run on this machine, and fits beside those that were placed here. */
    boolean fits(JobSpec spec) {
        return (spec.allowsSpot() || !pool.spot())
                && (spec.zone() == null || spec.zone().equals(pool.zone()))
                && spec.fitsMachineType(pool.type())
                && spec.cpus() <= freeCpus + ROUNDING
                && spec.gpus() <= freeGpus + ROUNDING
                && spec.memoryGb() <= freeMemoryGb + ROUNDING;
    }

    /** Places as many of the tasks as fit, and returns how many. */
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
