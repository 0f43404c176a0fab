package stileferry.requests;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import stileferry.cluster.Job;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerMessage;

/** The users who wait until a change of a job is durable. */
final class PendingReplies {
    /** Users wait this long for a change to be durable: less than their own patience of 5 s. */
    private static final long DURABILITY_TIMEOUT_MS = 3000;

    private final Environment environment;

    /** Who waits, by job, in the order in which the first of each began to wait. */
    private final Map<Job, Waiters> waitersByJob = new LinkedHashMap<>();

    /** The replies that wait for one job, and when the first of them came, in milliseconds on the steady clock. */
    private record Waiters(long firstAddedAt, List<Consumer<PeerMessage.Response>> replies) {}

    PendingReplies(Environment environment) {
        this.environment = environment;
    }

    /** Keeps a reply until the job is answered. */
    void add(Job job, Consumer<PeerMessage.Response> reply) {
        waitersByJob
                .computeIfAbsent(job, key -> new Waiters(environment.now(), new ArrayList<>()))
                .replies
                .add(reply);
    }

    /** Answers all who wait for this job. */
    void answer(Job job, PeerMessage.Response response) {
        Waiters waiters = waitersByJob.remove(job);
        if (waiters != null) {
            waiters.replies.forEach(reply -> reply.accept(response));
        }
    }

    /** Refuses those who have waited too long, or all of them when nothing may be told any more. */
    void expireOverdue(boolean mayAnswer) {
        long now = environment.now();
        for (Job job : List.copyOf(waitersByJob.keySet())) {
            Waiters waiters = waitersByJob.get(job);
            if (waiters != null && (!mayAnswer || now - waiters.firstAddedAt > DURABILITY_TIMEOUT_MS)) {
                answer(job, Responses.unavailable());
            }
        }
    }
}
