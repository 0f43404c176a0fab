package stileferry.coordination;

import stileferry.cluster.InvariantMonitor;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerMessage.RequestKind;

/**
 * Checks, at a controller that users ask, that their questions about jobs do not all stay unanswered for longer than
 * users may be left without an answer, whatever the cause.
 */
final class UnansweredQuestionsCheck {
    /** The longest time that an accepted job may stay unanswered about once all faults are over. */
    private static final long MAX_UNANSWERED_MS = 75_000;

    private static final int UNAVAILABLE = 503;
    private static final long NONE = Long.MIN_VALUE;

    private final Environment environment;
    private final InvariantMonitor invariants;

    /** When the first question was left without an answer since the last one that was answered, or {@link #NONE}. */
    private long unansweredSince = NONE;

    UnansweredQuestionsCheck(Environment environment, InvariantMonitor invariants) {
        this.environment = environment;
        this.invariants = invariants;
    }

    /** Records the response to a request that this controller received from a user. */
    void responded(RequestKind kind, int status) {
        if (kind != RequestKind.STATUS) {
            return;
        }
        long now = environment.now();
        if (status != UNAVAILABLE) {
            unansweredSince = NONE;
        } else if (unansweredSince == NONE) {
            unansweredSince = now;
        } else if (now - unansweredSince > MAX_UNANSWERED_MS) {
            invariants.violated(
                    InvariantMonitor.Invariant.QUESTIONS_ARE_ANSWERED, "unanswered_ms=" + (now - unansweredSince));
            unansweredSince = now;
        }
    }
}
