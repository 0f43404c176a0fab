package stileferry.requests;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import stileferry.cluster.Job;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerMessage;

/** The users who wait until a change of a job is durable. */
final class PendingReplies {
    /** Users wait this long for a change to be durable: less than their own patience of 5 s. */
    private static final long DURABILITY_TIMEOUT_MS = 3000;

    private final Environment environment;

    /** The jobs that somebody waits for, by when the first of them began to wait. */
    private final Set<Job> awaitedJobs = new LinkedHashSet<>();

    PendingReplies(Environment environment) {
        this.environment = environment;
    }

    /** Keeps a reply until the job is answered. */
    void add(Job job, Consumer<PeerMessage.Response> reply) {
        job.pendingReplies().add(reply);
        if (job.repliesPendingSince() == 0) {
            job.setRepliesPendingSince(environment.now());
            awaitedJobs.add(job);
        }
    }

    /** Answers all who wait for this job. */
    void answer(Job job, PeerMessage.Response response) {
        List<Consumer<PeerMessage.Response>> replies = job.pendingReplies();
        job.setPendingReplies(new ArrayList<>());
        job.setRepliesPendingSince(0);
        awaitedJobs.remove(job);
        replies.forEach(reply -> reply.accept(response));
    }

    /** Refuses those who have waited too long, or all of them when nothing may be told any more. */
    void refuseOverdue(boolean mayAnswer) {
        long now = environment.now();
        for (Job job : List.copyOf(awaitedJobs)) {
            if (!mayAnswer || now - job.repliesPendingSince() > DURABILITY_TIMEOUT_MS) {
                answer(job, Responses.unavailable());
            }
        }
    }
}
