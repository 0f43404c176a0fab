package stileferry.links;

import java.util.HashSet;
import java.util.Set;
import stileferry.connectivity.Connectivity;
import stileferry.connectivity.ReachabilityView.ProbeTarget;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.Settings;

/** Sends probes that test whether requests reach workers, with a limited number in flight. */
final class WorkerProber {
    /**
     * Number of sockets for commands to workers for each probe that may be in flight; at least one probe is always
     * allowed.
     */
    private static final int COMMAND_SOCKETS_PER_PROBE = 4;

    private static final String PROBE_PATH = "/inspect";
    private static final int HTTP_OK = 200;

    private final Environment environment;
    private final Connectivity connectivity;
    private final long timeoutMs;
    private final int maxInFlight;
    private final Set<String> inFlight = new HashSet<>();

    WorkerProber(Settings settings, Environment environment, Connectivity connectivity, long timeoutMs) {
        this.environment = environment;
        this.connectivity = connectivity;
        this.timeoutMs = timeoutMs;
        this.maxInFlight = Math.max(1, settings.socketBudget().commands() / COMMAND_SOCKETS_PER_PROBE);
    }

    /** Sends due probes up to the limit. */
    void sendDueProbes() {
        for (ProbeTarget target : connectivity.takeDueProbes(maxInFlight - inFlight.size(), environment.now())) {
            if (inFlight.add(target.worker())) {
                probe(target);
            }
        }
    }

    private void probe(ProbeTarget target) {
        environment.request(target.address(), "GET", PROBE_PATH, null, timeoutMs, (status, body) -> {
            inFlight.remove(target.worker());
            Heartbeat heartbeat = status == HTTP_OK ? Heartbeat.read(body) : null;
            // the address may belong to another worker by now
            boolean reached = heartbeat != null && heartbeat.machine().equals(target.worker());
            if (reached) {
                connectivity.workerRequestAnswered(target.worker(), true, environment.now());
            } else {
                connectivity.workerRequestFailed(target.worker(), true, environment.now());
            }
        });
    }
}
