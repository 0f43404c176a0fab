package stileferry.connectivity;

import stileferry.connectivity.ReachabilityView.HandoverNotice;

/**
 * State machine of a leader's handover to a nominee. The leader first waits until the nominee accepts, then until
 * pending commits complete or time out, and then releases the leader key. All decisions are withheld from the first
 * step on. The leader keeps the leadership until the release; after that the key-value store alone decides who leads.
 */
final class Handover {
    /** Short exchange intervals within which the nominee must accept, unless a leader lease is longer. */
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

    /** Returns the notice of the last handover for this controller's views, or null if there has been none. */
    HandoverNotice notice() {
        return notice;
    }

    /** Starts a handover; the notice in the next views asks the nominee to accept it. */
    void begin(long term, String nominee, long nomineeIncarnation, long now) {
        notice = new HandoverNotice(++lastId, term, nominee, nomineeIncarnation, true);
        enter(Step.AWAITING_NOMINEE, now);
    }

    /**
     * Records that a controller accepts the handover with this id; ignored unless it is the nominee of the current one.
     */
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
     * Advances the handover and returns what the leader has to do now.
     *
     * @param changesInFlight commits to which the key-value store has not responded yet
     * @param nomineeReady whether the nominee's view still reports that it could lead
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

    /**
     * Waits for pending commits, but not longer than a leader lease: commits without a response after that either have
     * been applied or fail their check of the leader key.
     */
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

    /**
     * Ends the handover when the leadership changes; views keep the notice so that the other controllers receive it.
     */
    void reset() {
        step = Step.IDLE;
    }
}
