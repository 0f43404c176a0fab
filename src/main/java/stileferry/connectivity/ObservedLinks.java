package stileferry.connectivity;

import static stileferry.validation.InvalidInputException.requireTime;

import stileferry.connectivity.ReachabilityView.ControllerHealth;

/** All links of one controller as it has seen them, and the time up to which it has. */
final class ObservedLinks {
    /** Failed requests in a row after which the state service counts as lost, long before its silence says so. */
    private static final int STORE_FAILURES = 2;

    /** Report intervals for which a process counts as behind after it was. */
    private static final int BUSY_REPORTS = 3;

    final ConnectivityConfig config;
    final WorkerLinks workers;
    final Peers peers;
    final LinkObserver store;
    private long now;
    private long lateMs;
    private long busyUntil = -1;
    private boolean leading;
    private long manySuspectSince = -1;

    ObservedLinks(ConnectivityConfig config, long now) {
        this.config = config;
        this.now = now;
        workers = new WorkerLinks(config);
        peers = new Peers(config, now);
        store = new LinkObserver(config.storeProbeIntervalMs(), now);
    }

    /** Takes in the time; one before the last counts as the last. */
    void advance(long time) {
        requireTime(time);
        now = Math.max(now, time);
    }

    long now() {
        return now;
    }

    /** By how much this process's own timers are late. */
    long lateMs() {
        return lateMs;
    }

    boolean busy() {
        return now < busyUntil;
    }

    boolean leading() {
        return leading;
    }

    void lagging(long late, boolean behind) {
        lateMs = late;
        if (behind) {
            busyUntil = now
                    + BUSY_REPORTS * config.heartbeatIntervalMs(); // what it has left undone meanwhile is still to come
        }
    }

    /** This controller leads, or does not any more. */
    void lead(boolean leads) {
        leading = leads;
        manySuspectSince = -1;
        workers.keep(leads);
        if (leads) {
            workers.clear(); // what a follower saw may be gone by now, and nobody would say so
        }
    }

    boolean storeGood() {
        return store.condition(now, lateMs) == LinkCondition.GOOD && store.failuresInRow() < STORE_FAILURES;
    }

    ControllerHealth standing() {
        return new ControllerHealth(storeGood(), busy(), peers.heard(now, lateMs));
    }

    /** Notes what has fallen silent up to now. */
    void sweep() {
        workers.sweep(now, lateMs);
        boolean many = leading && 2 * workers.suspectCount() >= Math.max(2, workers.count());
        manySuspectSince = !many ? -1 : manySuspectSince >= 0 ? manySuspectSince : now;
    }

    /** What decisions are checked against. */
    LinkEvidence evidence(boolean handingOver) {
        return new LinkEvidence(
                leading,
                handingOver,
                store.confirmedAt() < 0 ? -1 : now - store.confirmedAt(),
                manySuspectSince >= 0,
                manySuspectSince < 0 ? 0 : now - manySuspectSince);
    }

    ConnectivitySnapshot.Link describe(LinkObserver link) {
        return new ConnectivitySnapshot.Link(
                link.condition(now, lateMs),
                link.suspicion(now, lateMs),
                link.confirmedAt() < 0 ? -1 : now - link.confirmedAt(),
                link.failuresInRow(),
                link.lastFailure());
    }
}
