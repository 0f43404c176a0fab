package stileferry.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** How the tasks of one job have fared in this leader's term: where they failed, and which of them have to pause. */
public final class FailureHistory {
    private static final int MIN_MACHINES_FOR_JOB_FAULT = 3;

    private final Map<Integer, RestartBackOff> backOffs = new HashMap<>();
    private final Set<String> machinesWithFailures = new HashSet<>();
    private int successCount;
    private long lastFailedGangAttempt;

    /** Postpones the next start of a task after a failure; for the parameters see {@link RestartBackOff#backOff}. */
    public void backOff(int index, long now, long firstPauseMs, int mostDoublings) {
        backOffs.computeIfAbsent(index, task -> new RestartBackOff()).backOff(now, firstPauseMs, mostDoublings);
    }

    boolean mayStart(int index, long now) {
        RestartBackOff backOff = backOffs.get(index);
        return backOff == null || backOff.notBefore() <= now;
    }

    boolean anyTaskBackingOff(long now) {
        for (RestartBackOff backOff : backOffs.values()) {
            if (backOff.notBefore() > now) {
                return true;
            }
        }
        return false;
    }

    /** A task has completed. */
    public void recordSuccess(int index) {
        successCount++;
        backOffs.remove(index);
    }

    /** The number of tasks that have completed. */
    public int successCount() {
        return successCount;
    }

    /** A task of the job has failed on a machine. */
    public void recordFailureOn(String machine) {
        machinesWithFailures.add(machine);
    }

    public boolean failedOn(String machine) {
        return machinesWithFailures.contains(machine);
    }

    /** Whether a task of the job has failed on any machine. */
    public boolean failedAnywhere() {
        return !machinesWithFailures.isEmpty();
    }

    /** Whether tasks of the job have failed on so many machines that the job itself is taken to be faulty. */
    public boolean jobAtFault() {
        return machinesWithFailures.size() >= MIN_MACHINES_FOR_JOB_FAULT;
    }

    /** Notes that a task of this attempt of a gang has ended without completing; true if it is the first of it. */
    public boolean recordFailedGangAttempt(long attempt) {
        boolean first = lastFailedGangAttempt != attempt;
        lastFailedGangAttempt = attempt;
        return first;
    }
}
