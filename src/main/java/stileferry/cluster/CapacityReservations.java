package stileferry.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Reservations of the capacity that is being freed for waiting jobs by preempting others. Until the waiting jobs start,
 * jobs that come after them by precedence may not use this capacity: they would be preempted again immediately, and
 * each such start costs writes to the store.
 */
public final class CapacityReservations {
    /** The resources reserved for each job, by machine name. */
    private final Map<String, Map<Job, Resources>> reservedByMachine = new HashMap<>();

    private final Map<Job, Set<String>> machinesByJob = new HashMap<>();

    /** Removes all reservations, before they are decided again. */
    public void clear() {
        reservedByMachine.clear();
        machinesByJob.clear();
    }

    /** Reserves capacity for one more task of a job on a machine. */
    public void add(Job job, Machine machine) {
        reservedByMachine
                .computeIfAbsent(machine.name(), name -> new HashMap<>())
                .computeIfAbsent(job, any -> new Resources())
                .add(job.spec());
        machinesByJob.computeIfAbsent(job, any -> new HashSet<>()).add(machine.name());
    }

    /** Removes all reservations of a job; called when the job starts. */
    public void remove(Job job) {
        Set<String> machines = machinesByJob.remove(job);
        if (machines != null) {
            machines.forEach(machine -> reservedByMachine.get(machine).remove(job));
        }
    }

    /** Returns whether a task of this job fits on a machine beside the reservations of jobs with precedence over it. */
    public boolean allow(Machine machine, Job job) {
        Map<Job, Resources> reserved = reservedByMachine.get(machine.name());
        if (reserved == null) {
            return true;
        }
        Resources needed = new Resources();
        needed.add(job.spec());
        for (Map.Entry<Job, Resources> reservation : reserved.entrySet()) {
            if (Job.BY_PRECEDENCE.compare(reservation.getKey(), job) < 0) {
                needed.add(reservation.getValue());
            }
        }
        return machine.fits(needed);
    }
}
