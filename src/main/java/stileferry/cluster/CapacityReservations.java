package stileferry.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Capacity on machines that is being freed for waiting jobs by preempting others. Until those jobs start, jobs of lower
 * priority may not take it: they would be preempted again at once, and each such start costs writes to the store.
 */
public final class CapacityReservations {
    /** What is reserved on one machine for one job. */
    private static final class Reservation {
        double cpus;
        double gpus;
        double memoryGb;
    }

    private final Map<String, Map<Job, Reservation>> byMachine = new HashMap<>();
    private final Map<Job, Set<String>> machinesByJob = new HashMap<>();

    /** All reservations are decided on anew. */
    public void clear() {
        byMachine.clear();
        machinesByJob.clear();
    }

    /** Reserves capacity for one more task of a job. */
    public void add(Job job, Machine machine) {
        Reservation reservation = byMachine
                .computeIfAbsent(machine.name(), name -> new HashMap<>())
                .computeIfAbsent(job, any -> new Reservation());
        reservation.cpus += job.spec().cpus();
        reservation.gpus += job.spec().gpus();
        reservation.memoryGb += job.spec().memoryGb();
        machinesByJob.computeIfAbsent(job, any -> new HashSet<>()).add(machine.name());
    }

    /** The job has started, or its reservations are decided on anew. */
    public void remove(Job job) {
        Set<String> machines = machinesByJob.remove(job);
        if (machines != null) {
            machines.forEach(machine -> byMachine.get(machine).remove(job));
        }
    }

    /** Whether a task of this job fits on a machine beside what is reserved there for jobs of higher priority. */
    public boolean leaveCapacity(Machine machine, Job job) {
        Map<Job, Reservation> reserved = byMachine.get(machine.name());
        if (reserved == null) {
            return true;
        }
        double cpus = job.spec().cpus();
        double gpus = job.spec().gpus();
        double memoryGb = job.spec().memoryGb();
        for (Map.Entry<Job, Reservation> entry : reserved.entrySet()) {
            if (entry.getKey().spec().priority().compareTo(job.spec().priority()) < 0) {
                cpus += entry.getValue().cpus;
                gpus += entry.getValue().gpus;
                memoryGb += entry.getValue().memoryGb;
            }
        }
        return machine.fits(cpus, gpus, memoryGb);
    }
}
