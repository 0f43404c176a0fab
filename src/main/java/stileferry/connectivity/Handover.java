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
    private static final int ASK_EXCHANGES = 3;

    private final ConnectivityConfig config;
    private final long askMs;
    private Step step = Step.NONE;
    private HandoverNotice notice;
    private long since;
    private long numbers;

    /** Where a handover stands. */
    enum Step {
        /** Nothing is under way. */
        NONE,

        /** The nominee has been asked. */
        ASKING,

        /** The nominee is ready; changes in flight are waited for. */
        SETTLING
    }

    Handover(ConnectivityConfig config) {
        this.config = config;
        this.askMs = Math.max(config.leaderLeaseMs(), ASK_EXCHANGES * config.exchangeIntervalMs(true));
    }

    boolean underWay() {
        return step != Step.NONE;
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
        notice = new HandoverNotice(++numbers, term, nominee, nomineeIncarnation, true);
        step = Step.ASKING;
        since = now;
    }

    /** A controller says for which handover it is ready. */
    void accepted(String controller, long incarnation, long number, long now) {
        boolean matches = step == Step.ASKING
                && number == notice.id()
                && controller.equals(notice.nominee())
                && incarnation == notice.nomineeIncarnation();
        if (matches) {
            step = Step.SETTLING;
            since = now;
        }
    }

    /**
     * What to do now.
     *
     * @param changesInFlight changes sent to the state service that have no outcome yet
     * @param nomineeGood whether the nominee still says that it could lead
     */
    HandoverAction next(int changesInFlight, boolean nomineeGood, long now) {
        switch (step) {
            case ASKING -> {
                if (!nomineeGood || now - since > askMs) {
                    giveUp();
                    return HandoverAction.ABORTED;
                }
                return HandoverAction.WAIT;
            }
            case SETTLING -> {
                if (!nomineeGood) {
                    giveUp();
                    return HandoverAction.ABORTED;
                }
                // what is still in flight then fails its comparison with the leader key, or was carried out before
                if (changesInFlight == 0 || now - since > config.leaderLeaseMs()) {
                    step = Step.NONE;
                    return HandoverAction.RELEASE;
                }
                return HandoverAction.WAIT;
            }
            default -> {
                return HandoverAction.NONE;
            }
        }
    }

    private void giveUp() {
        step = Step.NONE;
        notice = new HandoverNotice(notice.id(), notice.term(), notice.nominee(), notice.nomineeIncarnation(), false);
    }

    /** This controller does not lead any more; the notice stands, so that others can still read it. */
    void reset() {
        step = Step.NONE;
    }
}
