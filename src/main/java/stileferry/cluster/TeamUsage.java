package stileferry.cluster;

import stileferry.protocol.JobSpec;

/** What one team's tasks use that may be on machines. */
final class TeamUsage {
    private final Resources used = new Resources();
    private int tasks;

    /** Counts one task, or counts it out again with a negative sign. */
    void adjust(JobSpec spec, int sign) {
        tasks += sign;
        used.add(spec, sign);
        if (tasks == 0) {
            used.clear(); // rounding errors end with the last task
        }
    }

    double cpus() {
        return used.cpus();
    }

    double gpus() {
        return used.gpus();
    }
}
