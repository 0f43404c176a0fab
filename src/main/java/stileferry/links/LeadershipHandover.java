package stileferry.links;

import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.connectivity.Connectivity;
import stileferry.connectivity.HandoverAction;
import stileferry.connectivity.LeadershipAdvice;
import stileferry.protocol.Environment;

/**
 * Carries out the advice of {@link Connectivity} to a leader: hands the leadership over to a better connected
 * controller or releases it without a nominee.
 */
final class LeadershipHandover {
    private static final Logger LOG = LoggerFactory.getLogger("links");

    private static final long POLL_INTERVAL_MS = 50;
    private static final String NO_NOMINEE = "nobody";

    private final Environment environment;
    private final Connectivity connectivity;
    private final ViewExchange viewExchange;

    private LinkHealth.Host host;
    private long term;
    private IntSupplier changesInFlight = () -> 0;
    private boolean releasing;
    private LeadershipAdvice.Action lastAction;

    LeadershipHandover(Environment environment, Connectivity connectivity, ViewExchange viewExchange) {
        this.environment = environment;
        this.connectivity = connectivity;
        this.viewExchange = viewExchange;
    }

    void start(LinkHealth.Host controller) {
        host = controller;
    }

    /**
     * Records that this controller leads from now on.
     *
     * @param transactionsInFlight supplies the number of transactions without a known outcome, which delay a handover
     */
    void elected(long newTerm, IntSupplier transactionsInFlight) {
        term = newTerm;
        changesInFlight = transactionsInFlight;
        releasing = false;
    }

    /** Records that this controller no longer leads; returns whether it released the leadership deliberately. */
    boolean deposed() {
        boolean released = releasing;
        releasing = false;
        return released;
    }

    /** Carries out the advice if this controller leads; otherwise only logs advice that has changed. */
    void follow(LeadershipAdvice advice) {
        if (lastAction != advice.action()) {
            LOG.info("leadership advice changed: action={} reason=\"{}\"", advice.action(), advice.reason());
        }
        lastAction = advice.action();
        if (!host.leading()) {
            return;
        }
        if (advice.action() == LeadershipAdvice.Action.STEP_DOWN) {
            release(NO_NOMINEE);
        } else if (advice.action() == LeadershipAdvice.Action.HAND_OVER) {
            begin(advice.nominee());
        }
    }

    private void begin(String nominee) {
        if (connectivity.beginHandover(nominee, environment.now())) {
            LOG.info("leadership handover started: term={} nominee={}", term, nominee);
            viewExchange.exchangeWithAll();
            advance(nominee);
        }
    }

    private void advance(String nominee) {
        HandoverAction action = connectivity.advanceHandover(changesInFlight.getAsInt(), environment.now());
        switch (action) {
            case WAIT -> environment.schedule(POLL_INTERVAL_MS, () -> advance(nominee));
            case RELEASE -> release(nominee);
            case ABORTED -> {
                LOG.info("leadership handover aborted, still leading: term={} nominee={}", term, nominee);
                viewExchange.exchangeWithAll();
            }
            default -> {}
        }
    }

    private void release(String nominee) {
        if (host.leading()) {
            LOG.info("leadership released: term={} nominee={}", term, nominee);
            releasing = true;
            host.releaseLeadership();
            connectivity.leadershipReleased(environment.now());
        }
    }
}
