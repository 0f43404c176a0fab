package stileferry.coordination;

import java.util.Set;
import java.util.TreeSet;
import stileferry.protocol.JobSpec;

/** A user with one job, and what the responses have reported about it. Times are simulated milliseconds. */
public final class SimulatedUser {
    public final JobSpec spec;
    public boolean accepted;

    /** The final state of the job, done or cancelled, or null until a response reports one to the user. */
    public String endState;

    boolean cancelRequested;

    /** When a response first reported to the user that the job is cancelled, or 0 if none has yet. */
    long cancelConfirmedAt;

    final Set<Integer> tasksDone = new TreeSet<>();

    /** The number of requests that got no final response and were scheduled to be sent again. */
    int retries;

    long lastResponseAt;
    /** When a response first reported the job's end to the user, or 0 if none has yet. */
    long completedAt;

    /** When the first task of the job started, or 0 if none has. */
    long startedAt;

    /**
     * The time, after the last fault, since which no task of the job has run although there is capacity for one, or 0
     * if this is not the case.
     */
    long unscheduledSince;

    final long submittedAt;
    long acceptedAt;

    SimulatedUser(JobSpec spec, long submittedAt) {
        this.spec = spec;
        this.submittedAt = submittedAt;
    }
}
