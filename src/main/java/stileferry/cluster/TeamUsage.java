package stileferry.cluster;

import stileferry.protocol.JobSpec;

/** What one team's tasks use that may be on machines. */
final class TeamUsage {
    private int tasks;
    private double cpus;
    private double gpus;

    /** Counts one task, or counts it out again with a negative sign. Rounding errors end with the last task. */
    void count(JobSpec spec, int sign) {
        tasks += sign;
        cpus = tasks == 0 ? 0 : cpus + sign * spec.cpus();
        gpus = tasks == 0 ? 0 : gpus + sign * spec.gpus();
    }

    double cpus() {
        return cpus;
    }

    double gpus() {
        return gpus;
    }
}
