package stileferry.coordination;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs at intervals what a controller has answered since the last line, why it did not answer the rest, and what health
 * checks were told. A controller that is asked nothing logs nothing.
 */
final class RequestSummaryLog {
    private static final Logger LOG = LoggerFactory.getLogger("requests");
    private static final long INTERVAL_MS = 10_000;

    private final ControllerContext controller;

    /** Creates a log that has not started. */
    RequestSummaryLog(ControllerContext controller) {
        this.controller = controller;
    }

    void start() {
        controller.environment().schedule(INTERVAL_MS, () -> {
            logGrowth();
            start();
        });
    }

    private void logGrowth() {
        String growth = controller.metrics().takeGrowth();
        if (!growth.isEmpty()) {
            LOG.info(
                    "requests answered: term={} leader={} late_ms={} connections={} oldest_read_ms={} {}",
                    controller.election().term(),
                    controller.election().leader(),
                    controller.eventLoopLag().lagMs(),
                    controller.environment().openConnections(),
                    controller.store().oldestQueuedReadMs(),
                    growth);
        }
    }
}
