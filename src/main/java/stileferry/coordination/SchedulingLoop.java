package stileferry.coordination;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.heartbeat.EventLoopLag;
import stileferry.protocol.Environment;
import stileferry.scheduling.Placement;
import stileferry.scheduling.SchedulingPass;
import stileferry.storage.CommitQueue;

/** Runs a leader's scheduling passes: at regular intervals, and on request soon after something has changed. */
final class SchedulingLoop {
    private static final Logger LOG = LoggerFactory.getLogger("leader");

    /** Requests for a pass within this time are served by one pass. */
    private static final long COALESCING_DELAY_MS = 20;

    /** Passes that take longer are logged: the leader answers nobody meanwhile. */
    private static final long SLOW_PASS_MS = 300;

    /** No pass runs while more changes wait for the key-value store than fit into this number of transactions. */
    private static final int MAX_BACKLOG_TRANSACTIONS = 4;

    private final Environment environment;
    private final PassPause pause;
    private final PassSize size;
    private final ClusterState cluster;
    private final CommitQueue commitQueue;
    private final Placement placement;
    private final SchedulingPass schedulingPass;
    private final Callbacks callbacks;
    private final int maxBacklogChanges;

    private boolean passRequested;

    /** Implemented by the leader. */
    interface Callbacks {
        /** Returns whether passes may run: the leader is not closed and holds its lease. */
        boolean mayRun();

        /** Returns whether all workers that can send heartbeats have sent one in this term. */
        boolean allWorkersHeard();

        /** Called after a requested pass, to send the changes and commands that it has queued. */
        void afterRequestedPass();
    }

    SchedulingLoop(
            Environment environment,
            EventLoopLag eventLoopLag,
            ClusterState cluster,
            CommitQueue commitQueue,
            Placement placement,
            SchedulingPass schedulingPass,
            Callbacks callbacks) {
        this.environment = environment;
        this.pause = new PassPause(eventLoopLag);
        this.size = new PassSize(cluster.settings().slowdownFactor());
        this.cluster = cluster;
        this.commitQueue = commitQueue;
        this.placement = placement;
        this.schedulingPass = schedulingPass;
        this.callbacks = callbacks;
        this.maxBacklogChanges =
                MAX_BACKLOG_TRANSACTIONS * cluster.settings().keyValueStore().maxTransactionOperations();
    }

    /** Schedules a pass to run soon, unless one is already scheduled. */
    void requestPass() {
        if (passRequested) {
            return;
        }
        passRequested = true;
        environment.schedule(Math.max(COALESCING_DELAY_MS, pause.lengthMs()), () -> {
            passRequested = false;
            if (callbacks.mayRun()) {
                run(false);
                callbacks.afterRequestedPass();
            }
        });
    }

    /**
     * Runs a regular pass, unless the event loop is late and the pause after the last pass has not elapsed: passes must
     * not take the time that lease renewals need.
     *
     * @param pausesWhenSaturated whether the first sign of lateness counts
     */
    void runRegular(boolean pausesWhenSaturated) {
        if (!pause.holdsRegularPass(environment.now(), pausesWhenSaturated)) {
            run(true);
        }
    }

    private void run(boolean regular) {
        long startedAt = environment.now();
        if (commitQueue.backlog() <= maxBacklogChanges) {
            placement.limitStarts(size.maxStarts());
            schedulingPass.run(regular, callbacks.allWorkersHeard());
        }
        long tookMs = environment.now() - startedAt;
        pause.passEnded(environment.now(), tookMs, size.isReduced() && placement.stoppedEarly());
        size.passEnded(tookMs, placement.stoppedEarly());
        if (tookMs > SLOW_PASS_MS) {
            LOG.info(
                    "slow scheduling pass: took_ms={} regular={} jobs={} machines={}",
                    tookMs,
                    regular,
                    cluster.jobs().size(),
                    cluster.machines().size());
        }
        if (placement.stoppedEarly()) {
            requestPass();
        }
    }
}
