package stileferry.leadership;

import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.KeyValue;
import stileferry.protocol.KeyValueStoreProtocol.CommitRequest;
import stileferry.protocol.KeyValueStoreProtocol.CommitResult;
import stileferry.protocol.KeyValueStoreProtocol.LeaseGrant;
import stileferry.protocol.KeyValueStoreProtocol.WatchResult;
import stileferry.protocol.OperatorSettings;
import stileferry.storage.KeyValueStoreClient;
import stileferry.storage.ScanResult;

/**
 * Follows the leader key while this node does not lead, and campaigns for it when it is free: writes it, attached to a
 * new lease, and the next term in one transaction. Each step belongs to a generation; an outdated one stops.
 */
final class LeaderCampaign {
    private static final long WATCH_TIMEOUT_MS = 10_000;
    private static final long REQUEST_FAILED_RETRY_MS = 400;
    private static final long CAMPAIGN_LOST_RETRY_MS = 100;
    private static final long LEASE_REVOKED_RETRY_MS = 60;

    /** While the key is left to others it is checked at least this often. */
    private static final long DELAYED_CAMPAIGN_CHECK_MS = 200;

    private final Environment environment;
    private final KeyValueStoreClient store;
    private final String node;
    private final LinkHealth links;
    private final boolean countsAdmissions;
    private final long leaseDurationMs;
    private final Listener listener;
    private int generation;

    /** The election, which knows the highest term and decides on a win. */
    interface Listener {
        /** The highest term that this node knows. */
        long term();

        /** A term was read, and who leads in it; empty: nobody. */
        void observeTerm(long term, String leader);

        /** The operators' settings as they are stored. */
        void operatorSettings(OperatorSettings settings);

        /** The leader key was written. */
        void won(Win win);
    }

    /**
     * A campaign that was won.
     *
     * @param revision of the leader key
     * @param requestedAt when the lease was asked for
     */
    record Win(TermRecord term, long revision, String leaseId, long requestedAt) {}

    LeaderCampaign(
            Environment environment,
            KeyValueStoreClient store,
            String node,
            LinkHealth links,
            boolean countsAdmissions,
            long leaseDurationMs,
            Listener listener) {
        this.environment = environment;
        this.store = store;
        this.node = node;
        this.links = links;
        this.countsAdmissions = countsAdmissions;
        this.leaseDurationMs = leaseDurationMs;
        this.listener = listener;
    }

    /** Begins to follow the leader key. */
    void start() {
        checkLeaderKey(++generation);
    }

    /** Stops following, as this node leads. */
    void stop() {
        generation++;
    }

    /** Gives up a lease that was won too late, and begins to follow the leader key again. */
    void abandon(String leaseId) {
        store.revokeLease(leaseId, () -> {});
        checkLater(CAMPAIGN_LOST_RETRY_MS, ++generation);
    }

    private void checkLater(long delayMs, int step) {
        environment.schedule(delayMs / 2 + environment.random().nextLong(delayMs), () -> {
            if (generation == step) {
                checkLeaderKey(step);
            }
        });
    }

    private void checkLeaderKey(int step) {
        store.scan(LeaderElection.PREFIX, true, result -> {
            if (generation != step) {
                return;
            }
            if (result.failed()) {
                checkLater(REQUEST_FAILED_RETRY_MS, step);
            } else {
                handleScanResult(step, result);
            }
        });
    }

    private void handleScanResult(int step, ScanResult result) {
        TermRecord storedTerm = TermRecord.NONE;
        LeaderRecord holder = null;
        for (KeyValue row : result.rows()) {
            switch (row.key()) {
                case LeaderElection.LEADER_KEY -> holder = LeaderRecord.read(row);
                case LeaderElection.TERM_KEY -> storedTerm = TermRecord.read(row);
                case LeaderElection.OPERATOR_SETTINGS_KEY ->
                    listener.operatorSettings(OperatorSettings.read(row.value()));
                default -> {}
            }
        }
        if (holder == null) {
            listener.observeTerm(storedTerm.term(), "");
            campaignUnlessDelayed(step, storedTerm);
        } else if (holder.node().equals(node)) {
            // left by an earlier process of this node, or by a campaign with an unknown outcome: nobody uses it
            store.revokeLease(holder.leaseId(), () -> checkLater(LEASE_REVOKED_RETRY_MS, step));
        } else {
            listener.observeTerm(holder.term(), holder.node());
            watch(step, result.revision());
        }
    }

    private void watch(int step, long revision) {
        store.watch(LeaderElection.PREFIX, revision, WATCH_TIMEOUT_MS, result -> {
            if (generation == step) {
                handleWatchResult(step, revision, result);
            }
        });
    }

    private void handleWatchResult(int step, long revision, WatchResult result) {
        if (result == null) {
            checkLater(REQUEST_FAILED_RETRY_MS, step);
        } else if (result.changed()) {
            checkLeaderKey(step);
        } else {
            watch(step, Math.max(revision, result.revision()));
        }
    }

    /** Leaves a free key to others for a while if their links are better, or this node has just released it. */
    private void campaignUnlessDelayed(int step, TermRecord storedTerm) {
        long delayMs = links.electionDelayMs();
        if (delayMs > 0) {
            checkLater(Math.min(delayMs, DELAYED_CAMPAIGN_CHECK_MS), step);
        } else {
            campaign(step, storedTerm);
        }
    }

    private void campaign(int step, TermRecord storedTerm) {
        long requestedAt = environment.now();
        store.grantLease(leaseDurationMs, lease -> {
            if (generation != step) {
                return;
            }
            if (lease == null) {
                checkLater(REQUEST_FAILED_RETRY_MS, step);
            } else {
                writeLeaderKey(step, storedTerm, lease, requestedAt);
            }
        });
    }

    private void writeLeaderKey(int step, TermRecord storedTerm, LeaseGrant lease, long requestedAt) {
        long term = Math.max(listener.term(), storedTerm.term()) + 1;
        TermRecord next = storedTerm.next(term, countsAdmissions);
        LeaderRecord leader = new LeaderRecord(node, term, lease.id());
        CommitRequest request = new CommitRequest()
                .compare(LeaderElection.LEADER_KEY, 0)
                .compare(LeaderElection.TERM_KEY, storedTerm.revision())
                .put(LeaderElection.LEADER_KEY, leader.write(), lease)
                .put(LeaderElection.TERM_KEY, next.write());
        store.commit(request, true, result -> {
            if (generation != step) {
                return;
            }
            if (result.outcome() == CommitResult.Outcome.APPLIED) {
                listener.won(new Win(next, result.revision(), lease.id(), requestedAt));
            } else {
                // if the outcome is unknown, the next check finds the key and ends its lease
                store.revokeLease(lease.id(), () -> {});
                checkLater(CAMPAIGN_LOST_RETRY_MS, step);
            }
        });
    }
}
