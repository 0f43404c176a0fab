package stileferry.requests;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
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
import stileferry.protocol.UserMessages;
import stileferry.protocol.WireNames;
import stileferry.storage.CommitQueue;
import stileferry.storage.KeyValueStoreClient;

/** Dealings with users in one term: they hear accepted, cancelled or done only when it is durable. */
public final class JobRequestHandler implements JobCompletion.Listener {
    /** The share of the value limit that a job's record may take; the rest is for what is added later. */
    private static final double FILL = 0.9;

    /** Seconds of the state service's rates that may wait before submissions are refused. */
    public static final double BEHIND_S = 2;

    /** Users wait this long for a change to be durable: less than their own patience of 5 s. */
    private static final long DURABLE_MS = 3000;

    private final ClusterState cluster;
    private final Environment environment;
    private final KeyValueStoreClient state;
    private final CommitQueue ledger;
    private final CompletedJobCache ended;
    private final Leader lead;

    /** Jobs whose users wait for something to be durable. */
    private final Set<Job> awaited = new LinkedHashSet<>();

    /** What the leader does for its users. */
    public interface Leader {
        /** Whether anything may be told or promised now. */
        boolean serving();

        /** Whether anything new may be promised now. */
        boolean promising();

        /** The next number of this term, higher than all before. */
        long number();

        /** A job is about to be accepted: it will be written for the first time. */
        void accepting(Job job);

        /** Whether a submission goes before all others, and is taken when they are not. */
        boolean goesFirst(byte[] submission);

        /** A job was accepted. */
        void changed();

        /** Cancels a job; its users are answered when that is durable. */
        void cancel(Job job);
    }

    public JobRequestHandler(
            ClusterState cluster,
            Environment environment,
            KeyValueStoreClient state,
            CommitQueue ledger,
            CompletedJobCache ended,
            Leader lead) {
        this.cluster = cluster;
        this.environment = environment;
        this.state = state;
        this.ledger = ledger;
        this.ended = ended;
        this.lead = lead;
    }

    /** Tells all who wait that nothing more will be known here. */
    public void close() {
        for (Job job : cluster.jobs().values()) {
            answer(job, Responses.unavailable());
        }
    }

    /** Answers all who wait for this job. */
    void answer(Job job, PeerMessage.Response answer) {
        List<Consumer<PeerMessage.Response>> waiting = job.pendingReplies();
        job.setPendingReplies(new ArrayList<>());
        job.setRepliesPendingSince(0);
        awaited.remove(job);
        waiting.forEach(w -> w.accept(answer));
    }

    @Override
    public void jobCompleted(Job job, CompletedJob end) {
        answer(job, Responses.ok(200, end.jobState(job.spec().id())));
    }

    @Override
    public void cancellationConfirmed(Job job) {
        answer(job, state(job, 200));
    }

    private void await(Job job, Consumer<PeerMessage.Response> reply) {
        job.pendingReplies().add(reply);
        if (job.repliesPendingSince() == 0) {
            job.setRepliesPendingSince(environment.now());
            awaited.add(job);
        }
    }

    /** Users whose change is not durable in time hear at once that it isn't known yet, and when to come back. */
    public void giveUpWaiting() {
        long now = environment.now();
        boolean sure = lead.serving();
        for (Job job : List.copyOf(awaited)) {
            if (!sure || now - job.repliesPendingSince() > DURABLE_MS) {
                answer(job, Responses.unavailable());
            }
        }
    }

    /** Where a job stands, as its user may hear it. */
    PeerMessage.Response state(Job job, int status) {
        if (!job.accepted() || job.cancelled() && !job.cancelConfirmed()) {
            return Responses.unavailable(); // the outcome of what would change the answer is not known yet
        }
        int running = job.cancelled() ? 0 : job.runningCount();
        String tide = job.cancelled() ? "cancelled" : running > 0 ? "running" : "pending";
        int done = job.completing() ? Math.max(0, job.completedCount() - 1) : job.completedCount();
        return Responses.ok(status, UserMessages.jobState(job.spec().id(), tide, done, running));
    }

    /** A job that was accepted and whose record nobody can read: known, and not over. */
    private static PeerMessage.Response unreadable(String id) {
        return Responses.ok(200, UserMessages.jobState(id, "pending", 0, 0));
    }

    /** Looks an id up among the ended jobs; the status is 0 when that can't be told now. */
    private void lookUp(String id, Consumer<CompletedJob> known, Runnable unknown, Runnable failed) {
        CompletedJob cached = ended.get(id);
        if (cached != null) {
            known.accept(cached);
            return;
        }
        state.get(Job.completedKey(id), result -> {
            if (!lead.serving() || result.unknown()) {
                failed.run();
            } else if (result.found()) {
                CompletedJob read = CompletedJob.read(result.row().value());
                ended.put(id, read);
                known.accept(read);
            } else {
                unknown.run();
            }
        });
    }

    public void submit(byte[] bytes, Consumer<PeerMessage.Response> reply) {
        if (!lead.promising()) {
            reply.accept(Responses.unavailable());
            return;
        }
        JsonNode body = MessageCodec.decode(bytes);
        String id = body == null ? "" : body.path(WireNames.NAME_ID).asText("");
        if (!JobSpec.validId(id)) {
            reply.accept(Responses.refusal(400, "not a map with a valid job id"));
            return;
        }
        Job job = cluster.jobs().get(id);
        if (job != null) {
            join(job, reply);
            return;
        }
        if (cluster.unreadableJobs().contains(id)) {
            reply.accept(unreadable(id));
            return;
        }
        long behindS = behindS();
        boolean first = lead.goesFirst(bytes);
        if (behindS > 0 && !first) { // it would only wait, and everything behind it
            reply.accept(new PeerMessage.Response(
                    503, (int) behindS, MessageCodec.encode(UserMessages.error("too much to do, try again"))));
            return;
        }
        lookUp(
                id,
                e -> reply.accept(Responses.ok(200, e.jobState(id))),
                () -> {
                    Job meanwhile = cluster.jobs().get(id);
                    if (meanwhile != null) {
                        join(meanwhile, reply);
                    } else if (ended.get(id) != null) {
                        reply.accept(Responses.ok(200, ended.get(id).jobState(id)));
                    } else {
                        accept(body, first, reply);
                    }
                },
                () -> reply.accept(Responses.unavailable()));
    }

    /** Whether a job's end was looked up or came up lately. */
    public boolean knowsEnded(String id) {
        return ended.get(id) != null;
    }

    /** Seconds after which a submission is worth another try when the state service can't take it soon; 0: it can. */
    private long behindS() {
        double seconds = backlogS();
        return seconds < BEHIND_S ? 0 : (long) Math.ceil(seconds);
    }

    /** Seconds of the state service's rates that wait. */
    public double backlogS() {
        return Math.max(
                ledger.backlog() / cluster.settings().keyValueStore().writesPerS(),
                state.queuedRequests() / cluster.settings().keyValueStore().requestsPerS());
    }

    private void join(Job job, Consumer<PeerMessage.Response> reply) {
        if (job.accepted()) {
            reply.accept(state(job, 200));
        } else {
            await(job, reply);
        }
    }

    private void accept(JsonNode body, boolean first, Consumer<PeerMessage.Response> reply) {
        JobSpec spec;
        try {
            spec = JobSpec.read(body);
        } catch (InvalidJobSpecException e) {
            reply.accept(Responses.refusal(400, e.getMessage()));
            return;
        }
        Settings.Team team = cluster.settings().team(spec.team());
        if (team == null) {
            reply.accept(Responses.refusal(422, "unknown team"));
            return;
        }
        if (cluster.machineTypes().isEmpty()) {
            reply.accept(Responses.unavailable());
            return;
        }
        if (cluster.machineTypes().stream().noneMatch(spec::fitsType)) {
            reply.accept(Responses.refusal(422, "a task fits no allowed machine type"));
            return;
        }
        if (!spec.canRunTogether(cluster.machineTypes())) {
            reply.accept(Responses.refusal(422, "its tasks can't all run at the same time"));
            return;
        }
        double tasks = spec.kind() == JobSpec.Kind.ARRAY ? 1 : spec.taskCount();
        if (team.cpusMax() > 0 && tasks * spec.cpus() > team.cpusMax()
                || team.gpusMax() > 0 && tasks * spec.gpus() > team.gpusMax()) {
            reply.accept(Responses.refusal(422, "more than the team's limit"));
            return;
        }
        Job job = new Job(spec, lead.number(), environment.timeOfDay(), 0);
        if (job.entry().value().toString().length()
                > cluster.settings().keyValueStore().maxValueKb() * 1024 * FILL) {
            reply.accept(Responses.refusal(422, "its description is larger than can be kept"));
            return;
        }
        await(job, reply);
        cluster.jobs().put(spec.id(), job);
        lead.accepting(job);
        Runnable onDurable = () -> {
            job.setAccepted(true);
            answer(job, Responses.ok(201, UserMessages.jobState(spec.id(), "pending", 0, 0)));
            lead.changed();
        };
        if (first) {
            ledger.putFirst(job.entry(), onDurable);
        } else {
            ledger.put(job.entry(), onDurable);
        }
    }

    public void status(String id, Consumer<PeerMessage.Response> reply) {
        if (!lead.serving()) {
            reply.accept(Responses.unavailable());
            return;
        }
        Job job = cluster.jobs().get(id);
        if (job != null) {
            reply.accept(state(job, 200));
            return;
        }
        if (cluster.unreadableJobs().contains(id)) {
            reply.accept(unreadable(id));
            return;
        }
        lookUp(
                id,
                e -> reply.accept(Responses.ok(200, e.jobState(id))),
                () -> {
                    Job meanwhile = cluster.jobs().get(id);
                    reply.accept(meanwhile != null ? state(meanwhile, 200) : endedMeanwhile(id));
                },
                () -> reply.accept(Responses.unavailable()));
    }

    /** The answer about a job that is not alive and had not ended when that was asked: it may have lived in between. */
    private PeerMessage.Response endedMeanwhile(String id) {
        CompletedJob now = ended.get(id);
        return now == null ? Responses.refusal(404, "no such job") : Responses.ok(200, now.jobState(id));
    }

    public void withdraw(String id, Consumer<PeerMessage.Response> reply) {
        if (!lead.promising()) {
            reply.accept(Responses.unavailable());
            return;
        }
        Job job = cluster.jobs().get(id);
        if (job == null && cluster.unreadableJobs().contains(id)) {
            reply.accept(Responses.unavailable());
        } else if (job == null) {
            lookUp(
                    id,
                    e -> reply.accept(Responses.ok(200, e.jobState(id))),
                    () -> reply.accept(cluster.jobs().containsKey(id) ? Responses.unavailable() : endedMeanwhile(id)),
                    () -> reply.accept(Responses.unavailable()));
        } else if (!job.accepted()) {
            reply.accept(Responses.unavailable());
        } else if (job.cancelConfirmed()) {
            reply.accept(state(job, 200));
        } else {
            await(job, reply); // answered when the job's end, or the cancellation, is durable
            if (!job.completing() && !job.cancelled()) {
                lead.cancel(job);
            }
        }
    }
}
