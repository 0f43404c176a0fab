package stileferry.scheduling;

import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;

/** An amount of CPUs, GPUs and memory, to count with. */
final class Resources {
    /** Sums may be off by this much. */
    private static final double ROUNDING = 1e-6;

    private double cpus;
    private double gpus;
    private double memoryGb;

    /** Nothing. */
    Resources() {}

    /** All that a machine of this type has. */
    static Resources of(MachineType type) {
        Resources all = new Resources();
        all.cpus = type.cpus();
        all.gpus = type.gpus();
        all.memoryGb = type.memoryGb();
        return all;
    }

    Resources copy() {
        Resources copy = new Resources();
        copy.cpus = cpus;
        copy.gpus = gpus;
        copy.memoryGb = memoryGb;
        return copy;
    }

    /** Adds one task's request. */
    void add(JobSpec spec) {
        add(spec, 1);
    }

    /** Adds the requests of so many tasks; with a negative number takes them away. */
    void add(JobSpec spec, int tasks) {
        cpus += tasks * spec.cpus();
        gpus += tasks * spec.gpus();
        memoryGb += tasks * spec.memoryGb();
    }

    void subtract(JobSpec spec) {
        add(spec, -1);
    }

    void subtract(Resources other) {
        cpus -= other.cpus;
        gpus -= other.gpus;
        memoryGb -= other.memoryGb;
    }

    double cpus() {
        return cpus;
    }

    double gpus() {
        return gpus;
    }

    /** Whether nothing is overdrawn. */
    boolean notNegative() {
        return cpus > -ROUNDING && gpus > -ROUNDING && memoryGb > -ROUNDING;
    }
}
