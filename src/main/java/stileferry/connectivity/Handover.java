package stileferry.connectivity;

import stileferry.connectivity.ReachabilityView.HandoverNotice;

/**
 * One leader's handover, step by step: the nominee is asked and answers that it is ready; no decision is made from the
 * first step on; the changes in flight are settled or given up; the leader key is released. Before the release the
 * leader still leads, so wherever it stops it goes on as before, or its lease ends as after a crash. After the release
 * nothing is left to do: who leads next is decided by the state service alone.
 */
final class Handover {
    /** Exchanges within which the nominee must have answered. */
    private static final int NOMINEE_ANSWER_EXCHANGES = 3;

    private final ConnectivityConfig config;
    private final long nomineeTimeoutMs;
    private Step step = Step.IDLE;
    private HandoverNotice notice;
    private long stepStartedAt;
    private long lastId;

    /** Where a handover stands. */
    enum Step {
        /** Nothing is under way. */
        IDLE,

        /** The nominee has been asked. */
        AWAITING_NOMINEE,

        /** The nominee is ready; changes in flight are waited for. */
        AWAITING_COMMITS
    }

    Handover(ConnectivityConfig config) {
        this.config = config;
        this.nomineeTimeoutMs =
                Math.max(config.leaderLeaseMs(), NOMINEE_ANSWER_EXCHANGES * config.exchangeIntervalMs(true));
    }

    boolean underWay() {
        return step != Step.IDLE;
    }

    Step step() {
        return step;
    }

    /** What others are told; null: nothing was ever intended in this term. */
    HandoverNotice notice() {
        return notice;
    }

    /** Asks a nominee. */
    void begin(long term, String nominee, long nomineeIncarnation, long now) {
        notice = new HandoverNotice(++lastId, term, nominee, nomineeIncarnation, true);
        step = Step.AWAITING_NOMINEE;
        stepStartedAt = now;
    }

    /** A controller says for which handover it is ready. */
    void nomineeAccepted(String controller, long incarnation, long number, long now) {
        boolean matches = step == Step.AWAITING_NOMINEE
                && number == notice.id()
                && controller.equals(notice.nominee())
                && incarnation == notice.nomineeIncarnation();
        if (matches) {
            step = Step.AWAITING_COMMITS;
            stepStartedAt = now;
        }
    }

    /**
     * What to do now.
     *
     * @param changesInFlight changes sent to the state service that have no outcome yet
     * @param nomineeGood whether the nominee still says that it could lead
     */
    HandoverAction advance(int changesInFlight, boolean nomineeGood, long now) {
        switch (step) {
            case AWAITING_NOMINEE -> {
                if (!nomineeGood || now - stepStartedAt > nomineeTimeoutMs) {
                    abort();
                    return HandoverAction.ABORTED;
                }
                return HandoverAction.WAIT;
            }
            case AWAITING_COMMITS -> {
                if (!nomineeGood) {
                    abort();
                    return HandoverAction.ABORTED;
                }
                // what is still in flight then fails its comparison with the leader key, or was carried out before
                if (changesInFlight == 0 || now - stepStartedAt > config.leaderLeaseMs()) {
                    step = Step.IDLE;
                    return HandoverAction.RELEASE;
                }
                return HandoverAction.WAIT;
            }
            default -> {
                return HandoverAction.NONE;
            }
        }
    }

    private void abort() {
        step = Step.IDLE;
        notice = new HandoverNotice(notice.id(), notice.term(), notice.nominee(), notice.nomineeIncarnation(), false);
    }

    /** This controller does not lead any more; the notice stands, so that others can still read it. */
    void reset() {
        step = Step.IDLE;
    }
}
