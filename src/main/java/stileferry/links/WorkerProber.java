package stileferry.links;

import java.util.HashSet;
import java.util.Set;
import stileferry.connectivity.Connectivity;
import stileferry.connectivity.ReachabilityView.ProbeTarget;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.Settings;

/** Asks workers whether requests reach them, a bounded number at a time. */
final class WorkerProber {
    /** Of the sockets for commands to workers, the part that probes may take. */
    private static final int SOCKET_SHARE = 4;

    private final Environment environment;
    private final Connectivity connectivity;
    private final long patienceMs;
    private final int mostInFlight;
    private final Set<String> inFlight = new HashSet<>();

    WorkerProber(Settings settings, Environment environment, Connectivity connectivity, long patienceMs) {
        this.environment = environment;
        this.connectivity = connectivity;
        this.patienceMs = patienceMs;
        this.mostInFlight = Math.max(1, settings.socketBudget().commands() / SOCKET_SHARE);
    }

    /** Sends the questions that are due. */
    void send() {
        for (ProbeTarget target : connectivity.nextProbes(mostInFlight - inFlight.size(), environment.now())) {
            if (inFlight.add(target.worker())) {
                ask(target);
            }
        }
    }

    private void ask(ProbeTarget target) {
        environment.request(target.address(), "GET", "/inspect", null, patienceMs, (status, body) -> {
            inFlight.remove(target.worker());
            Heartbeat report = status == 200 ? Heartbeat.read(body) : null;
            if (report != null && report.machine().equals(target.worker())) {
                connectivity.workerReached(target.worker(), true, environment.now());
            } else {
                connectivity.workerMissed(target.worker(), true, environment.now()); // or another has its address now
            }
        });
    }
}
