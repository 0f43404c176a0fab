package stileferry.requests;

import java.util.function.Consumer;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.lifecycle.CompletedJob;
import stileferry.lifecycle.CompletedJobCache;
import stileferry.lifecycle.JobCompletion;
import stileferry.protocol.Environment;
import stileferry.protocol.InvalidJobSpecException;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.protocol.Submission;
import stileferry.protocol.UserMessages;
import stileferry.storage.CommitQueue;
import stileferry.storage.KeyValueStoreClient;

/**
 * Handles users' requests about jobs in one term. Users are informed that a job was accepted, cancelled or completed
 * only once that is durable.
 */
public final class JobRequestHandler implements JobCompletion.Listener {
    /** Submissions are rejected while {@link #backlogS} is at least this many seconds. */
    public static final double MAX_BACKLOG_S = 2;

    private final ClusterState cluster;
    private final Environment environment;
    private final KeyValueStoreClient store;
    private final CommitQueue commitQueue;
    private final CompletedJobCache completedJobs;
    private final LeaderCallbacks leader;
    private final RequestMetrics metrics;
    private final PendingReplies pendingReplies;
    private final SubmissionCheck submissionCheck;

    /** Callbacks into the leader. */
    public interface LeaderCallbacks {
        /** Returns why requests may not be responded to now, including those that only read; null: they may. */
        UnavailableReason whyNotAnswer();

        /** Returns why submissions and cancellations may not be accepted now; null: they may. */
        UnavailableReason whyNotAcceptChanges();

        /** Returns the next sequence number of this term, higher than all previous ones. */
        long nextSequenceNumber();

        /** Called when a job is being accepted, before its record is written for the first time. */
        void beforeFirstWrite(Job job);

        /** Returns whether a submission goes ahead of all others and is accepted even while the backlog is too long. */
        boolean bypassesBacklog(byte[] submission);

        /** Called once the acceptance of a job is durable. */
        void jobAccepted();

        /** Called when an answer that depends on the leader's lease has been handed over to the connection. */
        void answerLeft();

        /** Cancels a job; its users receive the response once the cancellation is durable. */
        void cancel(Job job);
    }

    /** Creates a handler for one term; {@code completedJobs} is kept across terms. */
    public JobRequestHandler(
            ClusterState cluster,
            Environment environment,
            KeyValueStoreClient store,
            CommitQueue commitQueue,
            CompletedJobCache completedJobs,
            LeaderCallbacks leader,
            RequestMetrics metrics) {
        this.cluster = cluster;
        this.environment = environment;
        this.store = store;
        this.commitQueue = commitQueue;
        this.completedJobs = completedJobs;
        this.leader = leader;
        this.metrics = metrics;
        this.pendingReplies = new PendingReplies(environment, metrics);
        this.submissionCheck = new SubmissionCheck(cluster, metrics);
    }

    /** Responds with 503 to all waiting users, as this handler will not learn the outcome of their requests. */
    public void close() {
        for (Job job : cluster.jobs().values()) {
            pendingReplies.answer(job, metrics.unavailable(UnavailableReason.TERM_ENDED));
        }
    }

    /**
     * Responds with 503 and a retry time to users whose change is not durable in time, as its outcome is not known yet.
     * If the leader may no longer respond, all waiting users get this response.
     */
    public void expireOverdueReplies() {
        pendingReplies.expireOverdue(leader.whyNotAnswer());
    }

    @Override
    public void jobCompleted(Job job, CompletedJob completed) {
        pendingReplies.answer(job, JobResponses.completed(job.spec().id(), completed));
    }

    @Override
    public void cancellationConfirmed(Job job) {
        pendingReplies.answer(job, state(job));
    }

    /** Returns whether a job is cached as completed: its completion was looked up or happened recently. */
    public boolean hasCachedCompletion(String id) {
        return completedJobs.get(id) != null;
    }

    /**
     * Returns the seconds that the queued writes or the queued requests, whichever take longer, need at the key-value
     * store's rate limits.
     */
    public double backlogS() {
        Settings.KeyValueStoreLimits limits = cluster.settings().keyValueStore();
        return Math.max(commitQueue.backlog() / limits.writesPerS(), store.queuedRequests() / limits.requestsPerS());
    }

    /** Returns for how many milliseconds the oldest reply has been held back, or 0 if none is. */
    public long oldestPendingReplyMs() {
        return pendingReplies.oldestMs();
    }

    /** Returns the state of a live job, or 503 while the outcome of a change to it is not known. */
    private PeerMessage.Response state(Job job) {
        return JobResponses.changeSettled(job)
                ? JobResponses.state(job)
                : metrics.unavailable(UnavailableReason.CHANGE_NOT_SETTLED);
    }

    // ---- submissions

    /** Accepts a job, or responds with the state of the existing job of this id. */
    public void submit(byte[] bytes, Consumer<PeerMessage.Response> reply) {
        UnavailableReason whyNot = leader.whyNotAcceptChanges();
        if (whyNot != null) {
            reply.accept(metrics.unavailable(whyNot));
            return;
        }
        Submission submission = Submission.read(bytes);
        if (submission == null) {
            reply.accept(Responses.error(400, "not a map with a valid job id"));
            return;
        }
        String id = submission.jobId();
        Job job = cluster.jobs().get(id);
        if (job != null) {
            answerResubmission(job, reply);
            return;
        }
        if (cluster.unreadableJobs().contains(id)) {
            reply.accept(JobResponses.unreadable(id));
            return;
        }
        boolean urgent = leader.bypassesBacklog(bytes);
        int retryAfterS = retryAfterBacklogS();
        if (retryAfterS > 0 && !urgent) { // the job would only wait in the queue and delay all behind it
            metrics.unavailable(UnavailableReason.BACKLOG_TOO_LONG);
            reply.accept(new PeerMessage.Response(
                    503, retryAfterS, MessageCodec.encode(UserMessages.error("too much to do, try again"))));
            return;
        }
        answerIfCompleted(id, reply, () -> submitNew(submission, urgent, reply));
    }

    /**
     * Returns the seconds after which to retry a submission rejected for the backlog, or 0 if the backlog is
     * acceptable.
     */
    private int retryAfterBacklogS() {
        double seconds = backlogS();
        return seconds < MAX_BACKLOG_S ? 0 : (int) Math.ceil(seconds);
    }

    /**
     * Accepts a job that had not completed when the key-value store was read; the same job may have been submitted, or
     * have completed, in the meantime.
     */
    private void submitNew(Submission submission, boolean urgent, Consumer<PeerMessage.Response> reply) {
        String id = submission.jobId();
        Job submittedMeanwhile = cluster.jobs().get(id);
        CompletedJob completedMeanwhile = completedJobs.get(id);
        if (submittedMeanwhile != null) {
            answerResubmission(submittedMeanwhile, reply);
        } else if (completedMeanwhile != null) {
            reply.accept(JobResponses.completed(id, completedMeanwhile));
        } else {
            validateAndAccept(submission, urgent, reply);
        }
    }

    private void answerResubmission(Job job, Consumer<PeerMessage.Response> reply) {
        if (job.accepted()) {
            reply.accept(state(job));
        } else {
            pendingReplies.add(job, reply);
        }
    }

    private void validateAndAccept(Submission submission, boolean urgent, Consumer<PeerMessage.Response> reply) {
        JobSpec spec;
        try {
            spec = submission.jobSpec();
        } catch (InvalidJobSpecException e) {
            reply.accept(Responses.error(400, e.getMessage()));
            return;
        }
        PeerMessage.Response rejection = submissionCheck.rejection(spec);
        if (rejection != null) {
            reply.accept(rejection);
            return;
        }
        Job job = new Job(spec, leader.nextSequenceNumber(), environment.timeOfDay(), 0);
        PeerMessage.Response recordRejection = submissionCheck.recordRejection(job);
        if (recordRejection != null) {
            reply.accept(recordRejection);
            return;
        }
        accept(job, urgent, reply);
    }

    private void accept(Job job, boolean urgent, Consumer<PeerMessage.Response> reply) {
        String id = job.spec().id();
        pendingReplies.add(job, reply);
        cluster.addJob(job);
        leader.beforeFirstWrite(job);
        Runnable onDurable = () -> {
            job.markAccepted();
            pendingReplies.answer(job, JobResponses.accepted(id));
            leader.jobAccepted();
        };
        if (urgent) {
            commitQueue.putFirst(job.entry(), onDurable);
        } else {
            commitQueue.put(job.entry(), onDurable);
        }
    }

    // ---- status and cancellation

    /** Responds with the state of a live or completed job. */
    public void status(String id, Consumer<PeerMessage.Response> reply) {
        UnavailableReason whyNot = leader.whyNotAnswer();
        if (whyNot != null) {
            reply.accept(metrics.unavailable(whyNot));
            return;
        }
        Job job = cluster.jobs().get(id);
        if (job != null) {
            answerUnderLease(reply, state(job));
            return;
        }
        if (cluster.unreadableJobs().contains(id)) {
            reply.accept(JobResponses.unreadable(id));
            return;
        }
        answerIfCompleted(id, reply, () -> {
            Job submittedMeanwhile = cluster.jobs().get(id);
            answerUnderLease(reply, submittedMeanwhile != null ? state(submittedMeanwhile) : completedOrNotFound(id));
        });
    }

    private void answerUnderLease(Consumer<PeerMessage.Response> reply, PeerMessage.Response response) {
        reply.accept(response);
        leader.answerLeft();
    }

    /** Cancels a job; responds once its cancellation, or its completion, is durable. */
    public void cancel(String id, Consumer<PeerMessage.Response> reply) {
        UnavailableReason whyNot = leader.whyNotAcceptChanges();
        if (whyNot != null) {
            reply.accept(metrics.unavailable(whyNot));
            return;
        }
        Job job = cluster.jobs().get(id);
        if (job == null && cluster.unreadableJobs().contains(id)) {
            reply.accept(metrics.unavailable(UnavailableReason.CHANGE_NOT_SETTLED));
        } else if (job == null) {
            answerIfCompleted(
                    id,
                    reply,
                    () -> reply.accept(
                            cluster.jobs().containsKey(id)
                                    ? metrics.unavailable(UnavailableReason.CHANGE_NOT_SETTLED)
                                    : completedOrNotFound(id)));
        } else if (!job.accepted()) {
            reply.accept(metrics.unavailable(UnavailableReason.CHANGE_NOT_SETTLED));
        } else if (job.cancellationConfirmed()) {
            reply.accept(state(job));
        } else {
            pendingReplies.add(job, reply);
            if (!job.completing() && !job.cancelled()) {
                leader.cancel(job);
            }
        }
    }

    // ---- completed jobs

    /**
     * Responds if a job of this id has completed or if that can't be determined now, otherwise runs
     * {@code notCompleted}.
     */
    private void answerIfCompleted(String id, Consumer<PeerMessage.Response> reply, Runnable notCompleted) {
        CompletedJob cached = completedJobs.get(id);
        if (cached != null) {
            reply.accept(JobResponses.completed(id, cached));
            return;
        }
        store.get(Job.completedKey(id), result -> {
            UnavailableReason whyNot = leader.whyNotAnswer();
            if (whyNot != null) {
                reply.accept(metrics.unavailable(whyNot));
            } else if (result.unknown()) {
                reply.accept(metrics.unavailable(UnavailableReason.STORE_NOT_READABLE));
            } else if (result.found()) {
                CompletedJob completed = CompletedJob.read(result.row().value());
                completedJobs.put(id, completed);
                reply.accept(JobResponses.completed(id, completed));
            } else {
                notCompleted.run();
            }
        });
    }

    /**
     * Returns the response about a job that is not live and had not completed when the key-value store was read: 404
     * unless it was submitted and completed in the meantime.
     */
    private PeerMessage.Response completedOrNotFound(String id) {
        CompletedJob completed = completedJobs.get(id);
        return completed == null ? Responses.error(404, "no such job") : JobResponses.completed(id, completed);
    }
}
