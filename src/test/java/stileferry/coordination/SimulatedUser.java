package stileferry.coordination;

import java.util.Set;
import java.util.TreeSet;
import stileferry.protocol.JobSpec;

/** One user's job, and what its user has been told. */
public final class SimulatedUser {
    public final JobSpec spec;
    public boolean accepted;

    /** The state that the job ended in, done or cancelled; null: its user has not been told of its end. */
    public String endState;

    boolean cancelRequested;

    /** When its user was told that the job is cancelled; 0: not yet. */
    long cancelConfirmedAt;

    final Set<Integer> tasksDone = new TreeSet<>();

    /** Its requests that got no final answer. */
    int retries;

    long lastResponseAt;
    long completedAt;
    long startedAt;

    /** Since when, after all faults, no task of it runs though there is room for it; 0: not so. */
    long unscheduledSince;

    final long submittedAt;
    long acceptedAt;

    SimulatedUser(JobSpec spec, long submittedAt) {
        this.spec = spec;
        this.submittedAt = submittedAt;
    }
}
