package stileferry.cluster;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps the start commands of direct requests from being carried out too late by one agent, in one term.
 *
 * <p>A direct request may arrive at any later time, once or several times, whether it was answered or not. The agent
 * carries it out unless it has seen a higher fencing token. So the leader raises the token that it shows to the agent,
 * and an attempt is fenced if it was started directly only with lower tokens than the present one: an agent that has
 * received the present token never starts the attempt by such a request.
 */
public final class StartFence {
    /** For attempts that were started directly, the number of raises before the last such start, by attempt id. */
    private final Map<String, Long> raisesBeforeStart = new HashMap<>();

    private long raises;

    StartFence() {}

    /** Returns how often the token was raised in this term. */
    public long raises() {
        return raises;
    }

    /** Raises the token, which fences all attempts; everything sent to the agent from now on has to show it. */
    public void raise() {
        raises++;
    }

    /** Records that a start command is sent in a direct request. */
    public void recordDirectStart(String attemptId) {
        raisesBeforeStart.put(attemptId, raises);
    }

    /** Returns whether no direct request starts the attempt on an agent that has received the present token. */
    public boolean fenced(String attemptId) {
        Long before = raisesBeforeStart.get(attemptId);
        return before == null || before < raises;
    }

    /** Returns whether a direct request may still start the attempt, as far as the agent's statuses have shown. */
    public boolean mayStart(String attemptId) {
        return raisesBeforeStart.containsKey(attemptId);
    }

    /** Records the token that a status of the agent shows, as the number of raises that led to it. */
    void acknowledge(long acknowledgedRaises) {
        raises = Math.max(raises, acknowledgedRaises);
        if (!raisesBeforeStart.isEmpty()) {
            raisesBeforeStart.values().removeIf(before -> before < acknowledgedRaises);
        }
    }

    /** Records that a new incarnation was seen, which rejects all requests to older ones. */
    void beginIncarnation() {
        raisesBeforeStart.clear();
    }
}
