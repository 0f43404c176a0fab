package stileferry.autoscaling;

import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;

/** Room that exists, is coming, or would have to be rented. */
final class PlannedMachine {
    private static final double ROUNDING = 1e-6;

    private final MachineType type;
    private final String zone;
    private final boolean spot;
    private double cpus;
    double gpus;
    double memory;

    PlannedMachine(MachineType type, String zone, boolean spot) {
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.cpus = type.cpus();
        this.gpus = type.gpus();
        this.memory = type.memoryGb();
    }

    boolean fits(JobSpec spec) {
        return (spec.allowsSpot() || !spot)
                && (spec.zone() == null || spec.zone().equals(zone))
                && spec.fitsType(type)
                && spec.cpus() <= cpus + ROUNDING
                && spec.gpus() <= gpus + ROUNDING
                && spec.memoryGb() <= memory + ROUNDING;
    }

    /** Takes as many tasks as fit, and returns how many. */
    int take(JobSpec spec, int tasks) {
        int taken = 0;
        while (taken < tasks && fits(spec)) {
            cpus -= spec.cpus();
            gpus -= spec.gpus();
            memory -= spec.memoryGb();
            taken++;
        }
        return taken;
    }

    public MachineType type() {
        return type;
    }

    public String zone() {
        return zone;
    }

    public boolean spot() {
        return spot;
    }

    public double cpus() {
        return cpus;
    }
}
