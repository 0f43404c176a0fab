package stileferry.coordination;

import java.util.Set;
import java.util.TreeSet;
import stileferry.protocol.JobSpec;

/** A user with one job, and what the responses have told the user about it. Times are simulated milliseconds. */
public final class SimulatedUser {
    public final JobSpec spec;
    public boolean accepted;

    /** The final state of the job that the user was told, done or cancelled; null: none yet. */
    public String endState;

    boolean cancelRequested;

    /** When the user was told that the job is cancelled; 0: not yet. */
    long cancelConfirmedAt;

    final Set<Integer> tasksDone = new TreeSet<>();

    /** The number of requests that got no final response and were scheduled to be sent again. */
    int retries;

    long lastResponseAt;
    /** When the user was first told of the job's end; 0: not yet. */
    long completedAt;

    /** When the first task of the job started; 0: none has. */
    long startedAt;

    /**
     * Since when, after the last fault, no task of the job runs although there is capacity for one; 0: not the case.
     */
    long unscheduledSince;

    final long submittedAt;
    long acceptedAt;

    SimulatedUser(JobSpec spec, long submittedAt) {
        this.spec = spec;
        this.submittedAt = submittedAt;
    }
}
