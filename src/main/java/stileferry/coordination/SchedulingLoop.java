package stileferry.coordination;

import stileferry.cluster.ClusterState;
import stileferry.heartbeat.EventLoopLag;
import stileferry.protocol.Environment;
import stileferry.scheduling.Placement;
import stileferry.scheduling.SchedulingPass;
import stileferry.storage.CommitQueue;

/** When a leader's scheduling passes run: at regular intervals, and soon after something has changed. */
final class SchedulingLoop {
    /** Changes within this time share a pass. */
    private static final long COALESCING_DELAY_MS = 20;

    /** Passes rest for so many times as long as they take, so that heartbeats and renewals get their turns. */
    private static final long MIN_PAUSE_FACTOR = 5;

    /** Transactions that may wait for the key-value store before nothing more is started. */
    private static final int MAX_BACKLOG_TRANSACTIONS = 4;

    private final Environment environment;
    private final EventLoopLag eventLoopLag;
    private final CommitQueue commitQueue;
    private final Placement placement;
    private final SchedulingPass schedulingPass;
    private final Callbacks host;
    private final int maxBacklogChanges;

    private boolean passRequested;
    private long lastPassTookMs;
    private long lastPassAt;

    /** What the leader does for the loop. */
    interface Callbacks {
        /** Whether passes may run: the leader is not closed and sure to lead. */
        boolean mayRun();

        /** Whether all workers that can send heartbeats have sent one in this term. */
        boolean allWorkersHeard();

        /** Sends what a pass that was not a regular one has decided. */
        void afterRequestedPass();
    }

    SchedulingLoop(
            Environment environment,
            EventLoopLag eventLoopLag,
            ClusterState cluster,
            CommitQueue commitQueue,
            Placement placement,
            SchedulingPass schedulingPass,
            Callbacks host) {
        this.environment = environment;
        this.eventLoopLag = eventLoopLag;
        this.commitQueue = commitQueue;
        this.placement = placement;
        this.schedulingPass = schedulingPass;
        this.host = host;
        this.maxBacklogChanges =
                MAX_BACKLOG_TRANSACTIONS * cluster.settings().keyValueStore().maxTransactionOperations();
    }

    /** Has a pass run soon. */
    void requestPass() {
        if (passRequested) {
            return;
        }
        passRequested = true;
        environment.schedule(Math.max(COALESCING_DELAY_MS, MIN_PAUSE_FACTOR * lastPassTookMs), () -> {
            passRequested = false;
            if (host.mayRun()) {
                run(false);
                host.afterRequestedPass();
            }
        });
    }

    /**
     * Runs a regular pass.
     *
     * @param restsWhenSaturated whether it is left out while the event loop is saturated and the last pass took long:
     *     passes must not take the time that lease renewals need
     */
    void runRegular(boolean restsWhenSaturated) {
        boolean rests = restsWhenSaturated
                && eventLoopLag.saturated()
                && environment.now() - lastPassAt < MIN_PAUSE_FACTOR * lastPassTookMs;
        if (!rests) {
            run(true);
        }
    }

    private void run(boolean regular) {
        long startedAt = environment.now();
        if (commitQueue.backlog() <= maxBacklogChanges) {
            schedulingPass.run(regular, host.allWorkersHeard());
        }
        lastPassAt = environment.now();
        lastPassTookMs = lastPassAt - startedAt;
        if (placement.stoppedEarly()) {
            requestPass();
        }
    }
}
