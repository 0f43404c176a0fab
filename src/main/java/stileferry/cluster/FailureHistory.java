package stileferry.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The outcomes of one job's tasks in this leader's term: how many succeeded, on which machines tasks failed, and which
 * tasks are in restart back-off.
 */
public final class FailureHistory {
    /** The number of machines with failures from which on the job itself is considered faulty. */
    private static final int MIN_MACHINES_FOR_JOB_FAULT = 3;

    private final Map<Integer, RestartBackOff> backOffs = new HashMap<>();
    private final Set<String> machinesWithFailures = new HashSet<>();
    private int successCount;
    private long lastFailedGangAttempt;

    /** Delays the next start of a task after a failure; for the parameters see {@link RestartBackOff#backOff}. */
    public void backOff(int index, long now, long initialDelayMs, int maxDoublings) {
        backOffs.computeIfAbsent(index, task -> new RestartBackOff()).backOff(now, initialDelayMs, maxDoublings);
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

    /** Records that a task has completed, and ends its back-off. */
    public void recordSuccess(int index) {
        successCount++;
        backOffs.remove(index);
    }

    /** Returns the number of tasks that have completed in this term. */
    public int successCount() {
        return successCount;
    }

    /** Records that a task of the job has failed on this machine. */
    public void recordFailureOn(String machine) {
        machinesWithFailures.add(machine);
    }

    public boolean failedOn(String machine) {
        return machinesWithFailures.contains(machine);
    }

    /** Returns whether a task of the job has failed on any machine. */
    public boolean failedAnywhere() {
        return !machinesWithFailures.isEmpty();
    }

    /** Returns whether tasks have failed on so many machines that the job itself is considered faulty. */
    public boolean jobAtFault() {
        return machinesWithFailures.size() >= MIN_MACHINES_FOR_JOB_FAULT;
    }

    /** Records that a task of this gang attempt ended without completing; returns whether it is the attempt's first. */
    public boolean recordFailedGangAttempt(long attempt) {
        boolean first = lastFailedGangAttempt != attempt;
        lastFailedGangAttempt = attempt;
        return first;
    }
}
