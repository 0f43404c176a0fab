package stileferry.requests;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import stileferry.cluster.Job;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerMessage;

/** The replies to users that are held back until a change of a job is durable. */
final class PendingReplies {
    /** How long users wait for a change to become durable; shorter than their own request timeout of 5 s. */
    private static final long DURABILITY_TIMEOUT_MS = 3000;

    private final Environment environment;
    private final RequestMetrics metrics;

    /** The waiting replies by job, in the order in which the first reply for each job was added. */
    private final Map<Job, Waiters> waitersByJob = new LinkedHashMap<>();

    /**
     * The replies that wait for one job.
     *
     * @param firstAddedAt when the first of them was added, in milliseconds on the monotonic clock
     */
    private record Waiters(long firstAddedAt, List<Consumer<PeerMessage.Response>> replies) {}

    PendingReplies(Environment environment, RequestMetrics metrics) {
        this.environment = environment;
        this.metrics = metrics;
    }

    /** Holds a reply back until {@link #answer} is called for the job. */
    void add(Job job, Consumer<PeerMessage.Response> reply) {
        waitersByJob
                .computeIfAbsent(job, key -> new Waiters(environment.now(), new ArrayList<>()))
                .replies
                .add(reply);
    }

    /** Sends a response to all users that wait for this job. */
    void answer(Job job, PeerMessage.Response response) {
        Waiters waiters = waitersByJob.remove(job);
        if (waiters != null) {
            waiters.replies.forEach(reply -> reply.accept(response));
        }
    }

    /** Returns for how many milliseconds the oldest reply has been held back, or 0 if none is. */
    long oldestMs() {
        return waitersByJob.values().stream()
                .mapToLong(waiters -> environment.now() - waiters.firstAddedAt)
                .max()
                .orElse(0);
    }

    /**
     * Responds with 503 to users that have waited too long, or to all of them if the leader may no longer respond.
     *
     * @param whyNotAnswer why the leader may not respond; null: it may
     */
    void expireOverdue(UnavailableReason whyNotAnswer) {
        long now = environment.now();
        for (Job job : List.copyOf(waitersByJob.keySet())) {
            Waiters waiters = waitersByJob.get(job);
            if (waiters == null) {
                continue;
            }
            if (whyNotAnswer != null) {
                answer(job, metrics.unavailable(whyNotAnswer));
            } else if (now - waiters.firstAddedAt > DURABILITY_TIMEOUT_MS) {
                answer(job, metrics.unavailable(UnavailableReason.CHANGE_NOT_DURABLE_IN_TIME));
            }
        }
    }
}
