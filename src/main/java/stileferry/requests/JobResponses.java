package stileferry.requests;

import stileferry.cluster.Job;
import stileferry.lifecycle.CompletedJob;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.UserMessages;

/** Builds the responses that tell users the state of their jobs. */
final class JobResponses {
    private static final String PENDING = "pending";
    private static final String RUNNING = "running";
    private static final String CANCELLED = "cancelled";

    private JobResponses() {}

    /** Returns whether the outcome of the acceptance and, if it was requested, of the cancellation is known. */
    static boolean changeSettled(Job job) {
        return job.accepted() && (!job.cancelled() || job.cancellationConfirmed());
    }

    /** Returns the state of a live job whose changes are settled. */
    static PeerMessage.Response state(Job job) {
        int running = job.cancelled() ? 0 : job.runningCount();
        String state = job.cancelled() ? CANCELLED : running > 0 ? RUNNING : PENDING;
        // until the job's completion is durable, users must not see all of its tasks as completed
        int completed = job.completing() ? Math.max(0, job.completedCount() - 1) : job.completedCount();
        return Responses.ok(200, UserMessages.jobState(job.spec().id(), state, completed, running));
    }

    /** Returns the state of a job that was just accepted. */
    static PeerMessage.Response accepted(String id) {
        return Responses.ok(201, UserMessages.jobState(id, PENDING, 0, 0));
    }

    /** Returns the state of an accepted job whose record can't be read: it exists and has not completed. */
    static PeerMessage.Response unreadable(String id) {
        return Responses.ok(200, UserMessages.jobState(id, PENDING, 0, 0));
    }

    /** Returns the state of a completed job. */
    static PeerMessage.Response completed(String id, CompletedJob completed) {
        return Responses.ok(200, completed.jobState(id));
    }
}
