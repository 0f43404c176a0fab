package stileferry.coordination;

import stileferry.leadership.FencingTokens;
import stileferry.protocol.Features;
import stileferry.protocol.Settings;

/** A controller of the simulated cluster, whose process can crash and be started again. */
public final class ControllerNode {
    private final SimulatedCluster cluster;
    public final Settings settings;
    Coordinator coordinator;
    public SimulatedEnvironment environment;

    ControllerNode(SimulatedCluster cluster, Settings settings) {
        this.cluster = cluster;
        this.settings = settings;
    }

    String name() {
        return settings.controllerName();
    }

    /** Starts a new process, without any state of an earlier one. */
    public void start() {
        environment = new SimulatedEnvironment(cluster, this);
        coordinator = new Coordinator(
                settings,
                cluster.controllersWithoutFeatures.contains(name()) ? Features.NONE : cluster.features,
                environment,
                cluster.controllersWithOldMessageFormat.contains(name()) ? 1 : FencingTokens.TOKENS_PER_TERM);
        environment.execute(coordinator::start);
    }

    /** Ends the process immediately, without releasing or announcing anything. */
    public void crash() {
        environment.crashed = true;
        coordinator = null;
    }

    boolean up() {
        return coordinator != null;
    }
}
