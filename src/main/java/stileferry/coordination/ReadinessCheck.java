package stileferry.coordination;

import java.util.function.BooleanSupplier;
import stileferry.cluster.InvariantMonitor;
import stileferry.leadership.LeaderElection;
import stileferry.protocol.Environment;

/**
 * Checks, until a leader is ready or its term ends, that it becomes ready while it holds its lease: all the while
 * nobody else can lead, and users get no answer.
 */
final class ReadinessCheck {
    /** Time within which a leader that holds its lease must have read its state, in leases of workers. */
    private static final double MAX_WORKER_LEASES = 2;

    private static final double MS_PER_S = 1000;

    private final Environment environment;
    private final LeaderElection election;
    private final InvariantMonitor invariants;
    private final long term;
    private final BooleanSupplier done;
    private final long intervalMs;
    private final double maxMs;

    /**
     * Creates a check that has not started.
     *
     * @param done tells whether the leader is ready or its term has ended
     */
    ReadinessCheck(ControllerContext controller, long term, BooleanSupplier done) {
        this.environment = controller.environment();
        this.election = controller.election();
        this.invariants = controller.invariants();
        this.term = term;
        this.done = done;
        this.intervalMs = controller.settings().workers().heartbeatRoundMs();
        this.maxMs =
                MAX_WORKER_LEASES * MS_PER_S * controller.settings().workers().leaseS();
    }

    void start() {
        checkLater(environment.now());
    }

    /** Checks again after an interval; {@code heldSince}: since when every check has found the lease held. */
    private void checkLater(long heldSince) {
        environment.schedule(intervalMs, () -> {
            if (!done.getAsBoolean()) {
                check(election.leaseHeld() ? heldSince : environment.now());
            }
        });
    }

    private void check(long heldSince) {
        long heldMs = environment.now() - heldSince;
        if (heldMs > maxMs) {
            invariants.violated(
                    InvariantMonitor.Invariant.LEADER_BECOMES_READY, "term=" + term + " lease_held_ms=" + heldMs);
        }
        checkLater(heldSince);
    }
}
