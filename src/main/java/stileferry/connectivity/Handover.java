package stileferry.connectivity;

import stileferry.connectivity.ReachabilityView.HandoverNotice;

/**
 * A leader's handover of the leadership, step by step: the nominee is asked until it is ready; pending commits complete
 * or time out; the leader key is released. No decision is made from the first step on. Until the release the leader
 * leads as before; after it the state service alone decides who leads.
 */
final class Handover {
    /** Exchanges of views within which the nominee must be ready. */
    private static final int NOMINEE_TIMEOUT_EXCHANGE_INTERVALS = 3;

    private final ConnectivityConfig config;
    private final long nomineeTimeoutMs;
    private Step step = Step.IDLE;
    private HandoverNotice notice;
    private long stepStartedAt;
    private long lastId;

    private enum Step {
        IDLE,
        AWAITING_NOMINEE,
        AWAITING_COMMITS
    }

    Handover(ConnectivityConfig config) {
        this.config = config;
        this.nomineeTimeoutMs =
                Math.max(config.leaderLeaseMs(), NOMINEE_TIMEOUT_EXCHANGE_INTERVALS * config.exchangeIntervalMs(true));
    }

    boolean inProgress() {
        return step != Step.IDLE;
    }

    /** What this controller's views say of its last handover; null: there was none. */
    HandoverNotice notice() {
        return notice;
    }

    /** Starts a handover by asking a nominee. */
    void begin(long term, String nominee, long nomineeIncarnation, long now) {
        notice = new HandoverNotice(++lastId, term, nominee, nomineeIncarnation, true);
        enter(Step.AWAITING_NOMINEE, now);
    }

    /** A controller is ready for the handover with this id. */
    void nomineeAccepted(String controller, long incarnation, long id, long now) {
        boolean matches = step == Step.AWAITING_NOMINEE
                && id == notice.id()
                && controller.equals(notice.nominee())
                && incarnation == notice.nomineeIncarnation();
        if (matches) {
            enter(Step.AWAITING_COMMITS, now);
        }
    }

    private void enter(Step next, long now) {
        step = next;
        stepStartedAt = now;
    }

    /**
     * What to do now.
     *
     * @param changesInFlight commits that the state service has not answered yet
     * @param nomineeReady whether the nominee's view still says that it could lead
     */
    HandoverAction advance(int changesInFlight, boolean nomineeReady, long now) {
        return switch (step) {
            case IDLE -> HandoverAction.NONE;
            case AWAITING_NOMINEE -> {
                boolean timedOut = now - stepStartedAt > nomineeTimeoutMs;
                yield nomineeReady && !timedOut ? HandoverAction.WAIT : abort();
            }
            case AWAITING_COMMITS -> nomineeReady ? awaitCommits(changesInFlight, now) : abort();
        };
    }

    /** Commits that still lack an answer after a leader's lease fail their check of the leader key, or are done. */
    private HandoverAction awaitCommits(int changesInFlight, long now) {
        if (changesInFlight > 0 && now - stepStartedAt <= config.leaderLeaseMs()) {
            return HandoverAction.WAIT;
        }
        step = Step.IDLE;
        return HandoverAction.RELEASE;
    }

    private HandoverAction abort() {
        step = Step.IDLE;
        notice = new HandoverNotice(notice.id(), notice.term(), notice.nominee(), notice.nomineeIncarnation(), false);
        return HandoverAction.ABORTED;
    }

    /** This controller no longer leads; its views keep the notice, so that the others still receive it. */
    void reset() {
        step = Step.IDLE;
    }
}
