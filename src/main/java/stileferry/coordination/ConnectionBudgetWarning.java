package stileferry.coordination;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.Settings;
import stileferry.protocol.SocketBudget;

/** Logs a warning, once per term, when there are more machines than connections can be kept open to. */
final class ConnectionBudgetWarning {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    private final Settings settings;
    private boolean logged;

    ConnectionBudgetWarning(Settings settings) {
        this.settings = settings;
    }

    void check(int machines) {
        SocketBudget sockets = settings.socketBudget();
        if (!logged && sockets.closesWorkerConnections(machines)) {
            logged = true;
            LOG.warn(
                    "too few sockets to keep connections: machines={} max_sockets={} incoming={}",
                    machines,
                    settings.maxSockets(),
                    sockets.incoming());
        }
    }
}
