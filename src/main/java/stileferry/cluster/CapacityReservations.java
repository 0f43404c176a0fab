package stileferry.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Room on machines that is being made for waiting jobs by stopping other work. Until those jobs start, less urgent
 * work may not take it: it would be stopped again at once, and each such start costs writes in the state service.
 */
public final class CapacityReservations {
    /** Amounts on one machine that are reserved for one job. */
    private static final class Amounts {
        double cpus;
        double gpus;
        double memoryGb;
    }

    private final Map<String, Map<Job, Amounts>> byMachine = new HashMap<>();
    private final Map<Job, Set<String>> machinesOf = new HashMap<>();

    public void clear() {
        byMachine.clear();
        machinesOf.clear();
    }

    /** Reserves room for one more task of a job. */
    public void add(Job job, Machine machine) {
        Amounts amounts = byMachine
                .computeIfAbsent(machine.name(), name -> new HashMap<>())
                .computeIfAbsent(job, j -> new Amounts());
        amounts.cpus += job.spec().cpus();
        amounts.gpus += job.spec().gpus();
        amounts.memoryGb += job.spec().memoryGb();
        machinesOf.computeIfAbsent(job, j -> new HashSet<>()).add(machine.name());
    }

    /** The job has started, or its room is decided on anew. */
    public void remove(Job job) {
        Set<String> machines = machinesOf.remove(job);
        if (machines != null) {
            machines.forEach(machine -> byMachine.get(machine).remove(job));
        }
    }

    /** Whether a task of this job fits on a machine beside the room that is reserved there for more urgent jobs. */
    public boolean leaveCapacity(Machine machine, Job job) {
        Map<Job, Amounts> reserved = byMachine.get(machine.name());
        if (reserved == null) {
            return true;
        }
        double cpus = job.spec().cpus();
        double gpus = job.spec().gpus();
        double memoryGb = job.spec().memoryGb();
        for (Map.Entry<Job, Amounts> entry : reserved.entrySet()) {
            if (entry.getKey().spec().priority().compareTo(job.spec().priority()) < 0) {
                cpus += entry.getValue().cpus;
                gpus += entry.getValue().gpus;
                memoryGb += entry.getValue().memoryGb;
            }
        }
        return machine.fits(cpus, gpus, memoryGb);
    }
}
