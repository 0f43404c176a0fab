package stileferry.coordination;

import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.InvariantMonitor;
import stileferry.leadership.LeaderElection;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.requests.UnavailableReason;

/**
 * Decides whether the leader of one term may answer users and operators, or accept changes. Logs each change of the
 * right to answer, with the reason and how long the previous state lasted.
 */
final class AnswerRight {
    private static final Logger LOG = LoggerFactory.getLogger("leader");
    private static final String GRANTED = "granted";

    private final Environment environment;
    private final LeaderElection election;
    private final LinkHealth links;
    private final InvariantMonitor invariants;
    private final long term;
    private final BooleanSupplier ready;
    private boolean termEnded;
    private UnavailableReason lastReason = UnavailableReason.RECOVERING;
    private long lastChangeAt;

    /**
     * Creates the right of a term whose leader is not ready.
     *
     * @param ready tells whether the leader has read the whole durable state
     */
    AnswerRight(ControllerContext controller, long term, BooleanSupplier ready) {
        this.environment = controller.environment();
        this.election = controller.election();
        this.links = controller.links();
        this.invariants = controller.invariants();
        this.term = term;
        this.ready = ready;
        this.lastChangeAt = environment.now();
    }

    /** Withdraws the right for good. */
    void endTerm() {
        termEnded = true;
    }

    /** Returns why users and operators may not be answered now; null: they may. */
    UnavailableReason whyNotAnswer() {
        UnavailableReason reason = null;
        if (termEnded) {
            reason = UnavailableReason.TERM_ENDED;
        } else if (!ready.getAsBoolean()) {
            reason = UnavailableReason.RECOVERING;
        } else if (!election.leaseHeld()) {
            reason = UnavailableReason.LEASE_NOT_HELD;
        }
        if (reason != lastReason) {
            logChange(reason);
        }
        return reason;
    }

    /** Returns why users' jobs may not be accepted and cancelled now; null: they may. */
    UnavailableReason whyNotAcceptChanges() {
        UnavailableReason reason = whyNotAnswer();
        return reason == null && !links.permitsUserChanges() ? UnavailableReason.CHANGES_SUSPENDED : reason;
    }

    /** Checks, right after an answer was handed over to its connection, that the lease was held until then. */
    void answerLeft() {
        if (!termEnded && election.leaseMayHaveEnded()) {
            invariants.violated(InvariantMonitor.Invariant.LEASE_HELD_AS_ANSWER_LEAVES, "term=" + term);
        }
    }

    private void logChange(UnavailableReason reason) {
        long now = environment.now();
        LOG.info(
                "right to answer users changed: term={} reason={} previous={} previous_ms={}",
                term,
                label(reason),
                label(lastReason),
                now - lastChangeAt);
        lastReason = reason;
        lastChangeAt = now;
    }

    private static String label(UnavailableReason reason) {
        return reason == null ? GRANTED : reason.label();
    }
}
