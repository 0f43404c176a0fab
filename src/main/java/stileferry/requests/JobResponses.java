package stileferry.requests;

import stileferry.cluster.Job;
import stileferry.lifecycle.CompletedJob;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.UserMessages;

/** What users are told about their jobs. */
final class JobResponses {
    private static final String PENDING = "pending";
    private static final String RUNNING = "running";
    private static final String CANCELLED = "cancelled";

    private JobResponses() {}

    /** The state of a live job. */
    static PeerMessage.Response state(Job job) {
        if (!job.accepted() || job.cancelled() && !job.cancellationConfirmed()) {
            return Responses.unavailable(); // the outcome of what would change the answer is not known yet
        }
        int running = job.cancelled() ? 0 : job.runningCount();
        String state = job.cancelled() ? CANCELLED : running > 0 ? RUNNING : PENDING;
        // while the job's end is not durable nobody may take all of its tasks for completed
        int completed = job.completing() ? Math.max(0, job.completedCount() - 1) : job.completedCount();
        return Responses.ok(200, UserMessages.jobState(job.spec().id(), state, completed, running));
    }

    /** A job that was accepted just now. */
    static PeerMessage.Response accepted(String id) {
        return Responses.ok(201, UserMessages.jobState(id, PENDING, 0, 0));
    }

    /** A job that was accepted and whose record nobody can read: known, and not over. */
    static PeerMessage.Response unreadable(String id) {
        return Responses.ok(200, UserMessages.jobState(id, PENDING, 0, 0));
    }

    /** A job that is over. */
    static PeerMessage.Response completed(String id, CompletedJob completed) {
        return Responses.ok(200, completed.jobState(id));
    }
}
