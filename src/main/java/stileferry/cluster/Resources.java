package stileferry.cluster;

import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;

/** An amount of CPUs, GPUs and memory, to count with. */
public final class Resources {
    /** Sums of CPUs, GPUs and GB may be off by this much. */
    static final double ROUNDING_TOLERANCE = 1e-6;

    private double cpus;
    private double gpus;
    private double memoryGb;

    /** Nothing. */
    public Resources() {}

    /** All that a machine of this type has. */
    public static Resources of(MachineType type) {
        Resources all = new Resources();
        all.cpus = type.cpus();
        all.gpus = type.gpus();
        all.memoryGb = type.memoryGb();
        return all;
    }

    /** An independent copy. */
    public Resources copy() {
        Resources copy = new Resources();
        copy.cpus = cpus;
        copy.gpus = gpus;
        copy.memoryGb = memoryGb;
        return copy;
    }

    /** Adds one task's request. */
    public void add(JobSpec spec) {
        add(spec, 1);
    }

    /** Adds the requests of so many tasks; with a negative number takes them away. */
    public void add(JobSpec spec, int tasks) {
        cpus += tasks * spec.cpus();
        gpus += tasks * spec.gpus();
        memoryGb += tasks * spec.memoryGb();
    }

    /** Takes away what one task of the job requests. */
    public void subtract(JobSpec spec) {
        add(spec, -1);
    }

    void add(Resources other) {
        cpus += other.cpus;
        gpus += other.gpus;
        memoryGb += other.memoryGb;
    }

    /** Takes another amount away from this one. */
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

    /** How many tasks with this request fit into it. */
    int tasksFitting(JobSpec spec) {
        return Math.min(
                countFitting(cpus, spec.cpus()),
                Math.min(countFitting(gpus, spec.gpus()), countFitting(memoryGb, spec.memoryGb())));
    }

    private static int countFitting(double free, double wanted) {
        return wanted == 0 ? Integer.MAX_VALUE : (int) Math.max(0, (free + ROUNDING_TOLERANCE) / wanted);
    }

    /** Whether nothing is overdrawn. */
    public boolean isNonNegative() {
        return cpus > -ROUNDING_TOLERANCE && gpus > -ROUNDING_TOLERANCE && memoryGb > -ROUNDING_TOLERANCE;
    }
}
