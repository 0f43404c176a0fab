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
    /** For each machine what is reserved there for each job. */
    private final Map<String, Map<Job, Resources>> reservedByMachine = new HashMap<>();

    private final Map<Job, Set<String>> machinesByJob = new HashMap<>();

    /** All reservations are decided on anew. */
    public void clear() {
        reservedByMachine.clear();
        machinesByJob.clear();
    }

    /** Reserves capacity for one more task of a job. */
    public void add(Job job, Machine machine) {
        reservedByMachine
                .computeIfAbsent(machine.name(), name -> new HashMap<>())
                .computeIfAbsent(job, any -> new Resources())
                .add(job.spec());
        machinesByJob.computeIfAbsent(job, any -> new HashSet<>()).add(machine.name());
    }

    /** The job has started, or its reservations are decided on anew. */
    public void remove(Job job) {
        Set<String> machines = machinesByJob.remove(job);
        if (machines != null) {
            machines.forEach(machine -> reservedByMachine.get(machine).remove(job));
        }
    }

    /** Whether a task of this job fits on a machine beside what is reserved there for jobs of higher priority. */
    public boolean allow(Machine machine, Job job) {
        Map<Job, Resources> reserved = reservedByMachine.get(machine.name());
        if (reserved == null) {
            return true;
        }
        Resources wanted = new Resources();
        wanted.add(job.spec());
        for (Map.Entry<Job, Resources> reservation : reserved.entrySet()) {
            if (reservation.getKey().spec().priority().compareTo(job.spec().priority()) < 0) {
                wanted.add(reservation.getValue());
            }
        }
        return machine.fits(wanted);
    }
}
