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

/** Users' requests about jobs in one term: users hear accepted, cancelled or done only when it is durable. */
public final class JobRequestHandler implements JobCompletion.Listener {
    /** Seconds of the key-value store's rates that may wait before submissions are refused. */
    public static final double MAX_BACKLOG_S = 2;

    private final ClusterState cluster;
    private final Environment environment;
    private final KeyValueStoreClient store;
    private final CommitQueue commitQueue;
    private final CompletedJobCache completedJobs;
    private final LeaderCallbacks leader;
    private final PendingReplies pendingReplies;
    private final SubmissionCheck submissionCheck;

    /** What the leader does for its users. */
    public interface LeaderCallbacks {
        /** Whether anything may be told or promised now. */
        boolean mayAnswer();

        /** Whether anything new may be promised now. */
        boolean mayAcceptChanges();

        /** The next number of this term, higher than all before. */
        long nextSequenceNumber();

        /** A job is about to be accepted: it will be written for the first time. */
        void beforeFirstWrite(Job job);

        /** Whether a submission goes before all others, and is taken when they are not. */
        boolean bypassesBacklog(byte[] submission);

        /** A job was accepted. */
        void jobAccepted();

        /** Cancels a job; its users are answered when that is durable. */
        void cancel(Job job);
    }

    /** A handler for one term; the completed jobs outlive it. */
    public JobRequestHandler(
            ClusterState cluster,
            Environment environment,
            KeyValueStoreClient store,
            CommitQueue commitQueue,
            CompletedJobCache completedJobs,
            LeaderCallbacks leader) {
        this.cluster = cluster;
        this.environment = environment;
        this.store = store;
        this.commitQueue = commitQueue;
        this.completedJobs = completedJobs;
        this.leader = leader;
        this.pendingReplies = new PendingReplies(environment);
        this.submissionCheck = new SubmissionCheck(cluster);
    }

    /** Tells all who wait that nothing more will be known here. */
    public void close() {
        for (Job job : cluster.jobs().values()) {
            pendingReplies.answer(job, Responses.unavailable());
        }
    }

    /** Users whose change is not durable in time hear at once that it isn't known yet, and when to come back. */
    public void answerOverdue() {
        pendingReplies.refuseOverdue(leader.mayAnswer());
    }

    @Override
    public void jobCompleted(Job job, CompletedJob completed) {
        pendingReplies.answer(job, JobResponses.completed(job.spec().id(), completed));
    }

    @Override
    public void cancellationConfirmed(Job job) {
        pendingReplies.answer(job, JobResponses.state(job));
    }

    /** Whether a job's end was looked up or came up lately. */
    public boolean knowsCompleted(String id) {
        return completedJobs.get(id) != null;
    }

    /** Seconds of the key-value store's rates that wait. */
    public double backlogS() {
        Settings.KeyValueStoreLimits limits = cluster.settings().keyValueStore();
        return Math.max(commitQueue.backlog() / limits.writesPerS(), store.queuedRequests() / limits.requestsPerS());
    }

    // ---- submit

    /** Accepts a job, or answers with the state of the job of this id. */
    public void submit(byte[] bytes, Consumer<PeerMessage.Response> reply) {
        if (!leader.mayAcceptChanges()) {
            reply.accept(Responses.unavailable());
            return;
        }
        Submission submission = Submission.read(bytes);
        if (submission == null) {
            reply.accept(Responses.refusal(400, "not a map with a valid job id"));
            return;
        }
        String id = submission.jobId();
        Job job = cluster.jobs().get(id);
        if (job != null) {
            answerIdempotent(job, reply);
            return;
        }
        if (cluster.unreadableJobs().contains(id)) {
            reply.accept(JobResponses.unreadable(id));
            return;
        }
        boolean urgent = leader.bypassesBacklog(bytes);
        int retryAfterS = retryAfterBacklogS();
        if (retryAfterS > 0 && !urgent) { // it would only wait, and everything behind it
            reply.accept(new PeerMessage.Response(
                    503, retryAfterS, MessageCodec.encode(UserMessages.error("too much to do, try again"))));
            return;
        }
        answerIfCompleted(id, reply, () -> submitUnknown(submission, urgent, reply));
    }

    /** Seconds after which a submission is worth another try when the key-value store is behind; 0: it is not. */
    private int retryAfterBacklogS() {
        double seconds = backlogS();
        return seconds < MAX_BACKLOG_S ? 0 : (int) Math.ceil(seconds);
    }

    /** Takes a job that had not ended when that was asked; the same job may have come, or ended, in between. */
    private void submitUnknown(Submission submission, boolean urgent, Consumer<PeerMessage.Response> reply) {
        String id = submission.jobId();
        Job submittedMeanwhile = cluster.jobs().get(id);
        CompletedJob completedMeanwhile = completedJobs.get(id);
        if (submittedMeanwhile != null) {
            answerIdempotent(submittedMeanwhile, reply);
        } else if (completedMeanwhile != null) {
            reply.accept(JobResponses.completed(id, completedMeanwhile));
        } else {
            check(submission, urgent, reply);
        }
    }

    private void answerIdempotent(Job job, Consumer<PeerMessage.Response> reply) {
        if (job.accepted()) {
            reply.accept(JobResponses.state(job));
        } else {
            pendingReplies.add(job, reply);
        }
    }

    private void check(Submission submission, boolean urgent, Consumer<PeerMessage.Response> reply) {
        JobSpec spec;
        try {
            spec = submission.jobSpec();
        } catch (InvalidJobSpecException e) {
            reply.accept(Responses.refusal(400, e.getMessage()));
            return;
        }
        PeerMessage.Response refusal = submissionCheck.refusal(spec);
        if (refusal != null) {
            reply.accept(refusal);
            return;
        }
        Job job = new Job(spec, leader.nextSequenceNumber(), environment.timeOfDay(), 0);
        PeerMessage.Response recordRefusal = submissionCheck.recordRefusal(job);
        if (recordRefusal != null) {
            reply.accept(recordRefusal);
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

    // ---- status and cancel

    /** Answers with the state of a job. */
    public void status(String id, Consumer<PeerMessage.Response> reply) {
        if (!leader.mayAnswer()) {
            reply.accept(Responses.unavailable());
            return;
        }
        Job job = cluster.jobs().get(id);
        if (job != null) {
            reply.accept(JobResponses.state(job));
            return;
        }
        if (cluster.unreadableJobs().contains(id)) {
            reply.accept(JobResponses.unreadable(id));
            return;
        }
        answerIfCompleted(id, reply, () -> {
            Job submittedMeanwhile = cluster.jobs().get(id);
            reply.accept(submittedMeanwhile != null ? JobResponses.state(submittedMeanwhile) : completedMeanwhile(id));
        });
    }

    /** Cancels a job; answered when its cancellation, or its end, is durable. */
    public void cancel(String id, Consumer<PeerMessage.Response> reply) {
        if (!leader.mayAcceptChanges()) {
            reply.accept(Responses.unavailable());
            return;
        }
        Job job = cluster.jobs().get(id);
        if (job == null && cluster.unreadableJobs().contains(id)) {
            reply.accept(Responses.unavailable());
        } else if (job == null) {
            answerIfCompleted(
                    id,
                    reply,
                    () -> reply.accept(
                            cluster.jobs().containsKey(id) ? Responses.unavailable() : completedMeanwhile(id)));
        } else if (!job.accepted()) {
            reply.accept(Responses.unavailable());
        } else if (job.cancellationConfirmed()) {
            reply.accept(JobResponses.state(job));
        } else {
            pendingReplies.add(job, reply);
            if (!job.completing() && !job.cancelled()) {
                leader.cancel(job);
            }
        }
    }

    // ---- jobs that are over

    /** Answers if a job of this id has ended, or if that can't be told now; else goes on. */
    private void answerIfCompleted(String id, Consumer<PeerMessage.Response> reply, Runnable notCompleted) {
        CompletedJob cached = completedJobs.get(id);
        if (cached != null) {
            reply.accept(JobResponses.completed(id, cached));
            return;
        }
        store.get(Job.completedKey(id), result -> {
            if (!leader.mayAnswer() || result.unknown()) {
                reply.accept(Responses.unavailable());
            } else if (result.found()) {
                CompletedJob completed = CompletedJob.read(result.row().value());
                completedJobs.put(id, completed);
                reply.accept(JobResponses.completed(id, completed));
            } else {
                notCompleted.run();
            }
        });
    }

    /** The answer about a job that is not alive and had not ended when that was asked: it may have lived in between. */
    private PeerMessage.Response completedMeanwhile(String id) {
        CompletedJob completed = completedJobs.get(id);
        return completed == null ? Responses.refusal(404, "no such job") : JobResponses.completed(id, completed);
    }
}
