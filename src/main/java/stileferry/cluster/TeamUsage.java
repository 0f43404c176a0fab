package stileferry.cluster;

import stileferry.protocol.JobSpec;

/** The resources used by one team, counting every task that may be on a machine. */
final class TeamUsage {
    private final Resources used = new Resources();
    private int tasks;

    /** Adds one task to the usage if {@code sign} is 1, or removes it if {@code sign} is -1. */
    void adjust(JobSpec spec, int sign) {
        tasks += sign;
        used.add(spec, sign);
        if (tasks == 0) {
            used.clear(); // discards accumulated rounding errors
        }
    }

    double cpus() {
        return used.cpus();
    }

    double gpus() {
        return used.gpus();
    }
}
