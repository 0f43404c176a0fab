package stileferry.coordination;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerMessage.RequestKind;
import stileferry.requests.RequestMetrics;

/**
 * Raises an alarm at a controller whose users' questions about jobs have all stayed unanswered for longer than users
 * may be left without an answer, whatever the cause. A controller that is cut off raises it too.
 */
final class UnansweredQuestionsCheck {
    private static final Logger LOG = LoggerFactory.getLogger("requests");

    /** The longest time that an accepted job may stay unanswered about once all faults are over. */
    private static final long MAX_UNANSWERED_MS = 75_000;

    private static final int UNAVAILABLE = 503;
    private static final long NONE = Long.MIN_VALUE;

    private final Environment environment;
    private final RequestMetrics metrics;

    /** When the first question was left without an answer since the last one that was answered, or {@link #NONE}. */
    private long unansweredSince = NONE;

    UnansweredQuestionsCheck(Environment environment, RequestMetrics metrics) {
        this.environment = environment;
        this.metrics = metrics;
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
            metrics.recordUnansweredAlarm();
            LOG.error(
                    "questions unanswered: unanswered_ms={} since_last_summary={}",
                    now - unansweredSince,
                    metrics.growth());
            unansweredSince = now;
        }
    }
}
