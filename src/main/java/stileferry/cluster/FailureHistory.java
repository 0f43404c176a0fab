package stileferry.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** How the tasks of one job have fared in this leader's term: where they failed, and which of them have to pause. */
public final class FailureHistory {
    private static final int JOB_AT_FAULT_MACHINES = 3;

    private final Map<Integer, RestartBackOff> backOffs = new HashMap<>();
    private final Set<String> machines = new HashSet<>();
    private int successes;
    private long lastFailedAttempt;

    /** Postpones the next start of a task after a failure; for the parameters see {@link RestartBackOff#backOff}. */
    public void backOff(int index, long now, long firstPauseMs, int mostDoublings) {
        backOffs.computeIfAbsent(index, task -> new RestartBackOff()).backOff(now, firstPauseMs, mostDoublings);
    }

    boolean mayStart(int index, long now) {
        RestartBackOff backOff = backOffs.get(index);
        return backOff == null || backOff.notBefore() <= now;
    }

    boolean anyTaskPauses(long now) {
        for (RestartBackOff backOff : backOffs.values()) {
            if (backOff.notBefore() > now) {
                return true;
            }
        }
        return false;
    }

    /** A task has completed. */
    public void recordSuccess(int index) {
        successes++;
        backOffs.remove(index);
    }

    /** The number of tasks that have completed. */
    public int successes() {
        return successes;
    }

    /** A task of the job has failed on a machine. */
    public void recordFailureOn(String machine) {
        machines.add(machine);
    }

    public boolean failedOn(String machine) {
        return machines.contains(machine);
    }

    /** Whether a task of the job has failed on any machine. */
    public boolean failedAnywhere() {
        return !machines.isEmpty();
    }

    /** Whether tasks of the job have failed on so many machines that the job itself is taken to be faulty. */
    public boolean jobAtFault() {
        return machines.size() >= JOB_AT_FAULT_MACHINES;
    }

    /** Notes that a task of this attempt of a gang has ended without completing; true if it is the first of it. */
    public boolean recordFailedAttempt(long attempt) {
        boolean first = lastFailedAttempt != attempt;
        lastFailedAttempt = attempt;
        return first;
    }
}
