package stileferry.cluster;

import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;

/** A mutable amount of CPUs, GPUs and memory, with the arithmetic needed to track usage and free capacity. */
public final class Resources {
    /** Tolerance for floating-point rounding errors in sums of CPUs, GPUs and GB. */
    static final double ROUNDING_TOLERANCE = 1e-6;

    private double cpus;
    private double gpus;
    private double memoryGb;

    /** Creates an amount of zero. */
    public Resources() {}

    /** Returns the total capacity of a machine of this type. */
    public static Resources of(MachineType type) {
        Resources all = new Resources();
        all.cpus = type.cpus();
        all.gpus = type.gpus();
        all.memoryGb = type.memoryGb();
        return all;
    }

    /** Returns an independent copy of this amount. */
    public Resources copy() {
        Resources copy = new Resources();
        copy.cpus = cpus;
        copy.gpus = gpus;
        copy.memoryGb = memoryGb;
        return copy;
    }

    /** Adds the request of one task of the job. */
    public void add(JobSpec spec) {
        add(spec, 1);
    }

    /** Adds the requests of the given number of tasks of the job; a negative number subtracts them. */
    public void add(JobSpec spec, int tasks) {
        cpus += tasks * spec.cpus();
        gpus += tasks * spec.gpus();
        memoryGb += tasks * spec.memoryGb();
    }

    /** Subtracts the request of one task of the job. */
    public void subtract(JobSpec spec) {
        add(spec, -1);
    }

    void add(Resources other) {
        cpus += other.cpus;
        gpus += other.gpus;
        memoryGb += other.memoryGb;
    }

    /** Subtracts another amount from this one; the result may be negative. */
    public void subtract(Resources other) {
        cpus -= other.cpus;
        gpus -= other.gpus;
        memoryGb -= other.memoryGb;
    }

    public double cpus() {
        return cpus;
    }

    public double gpus() {
        return gpus;
    }

    public double memoryGb() {
        return memoryGb;
    }

    void clear() {
        cpus = 0;
        gpus = 0;
        memoryGb = 0;
    }

    /** Returns the number of tasks with this request that fit into this amount. */
    int tasksFitting(JobSpec spec) {
        return Math.min(
                countFitting(cpus, spec.cpus()),
                Math.min(countFitting(gpus, spec.gpus()), countFitting(memoryGb, spec.memoryGb())));
    }

    private static int countFitting(double free, double requested) {
        return requested == 0 ? Integer.MAX_VALUE : (int) Math.max(0, (free + ROUNDING_TOLERANCE) / requested);
    }

    /** Returns whether none of the three amounts is negative, apart from rounding errors. */
    public boolean isNonNegative() {
        return cpus > -ROUNDING_TOLERANCE && gpus > -ROUNDING_TOLERANCE && memoryGb > -ROUNDING_TOLERANCE;
    }
}
