package stileferry.leadership;

import java.util.function.LongUnaryOperator;
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
 * Watches the leader key while this controller is a follower and campaigns for leadership when the key does not exist:
 * it writes the key, attached to a new lease, and the next term in one transaction. Each asynchronous step belongs to a
 * generation and does nothing once a newer generation has begun.
 */
final class LeaderCampaign {
    private static final long WATCH_TIMEOUT_MS = 10_000;
    private static final long REQUEST_FAILED_RETRY_MS = 400;
    private static final long CAMPAIGN_LOST_RETRY_MS = 100;
    private static final long LEASE_REVOKED_RETRY_MS = 60;

    /**
     * Upper limit of the nominal delay between checks of the leader key while this controller lets others campaign
     * first.
     */
    private static final long DELAYED_CAMPAIGN_CHECK_MS = 200;

    private final Environment environment;
    private final KeyValueStoreClient store;
    private final String node;
    private final LinkHealth links;
    private final boolean countsAdmissions;
    private final int tokensPerTerm;
    private final LongUnaryOperator leaseDurationMs;
    private final Listener listener;
    private int generation;

    /** Implemented by the election, which tracks the highest term and decides whether a won campaign takes effect. */
    interface Listener {
        /** Returns the highest term that this controller knows. */
        long term();

        /** Called when a term has been read, with the name of its leader, which is empty if there is none. */
        void observeTerm(long term, String leader);

        /** Called when the stored operators' settings have been read. */
        void operatorSettings(OperatorSettings settings);

        /** Called when this controller has written the leader key. */
        void won(Win win);
    }

    /**
     * A campaign that this controller has won.
     *
     * @param tokens the fencing tokens of the term
     * @param revision the revision of the leader key
     * @param requestedAt when the lease was requested, in {@link Environment#now} time
     * @param leaseDurationMs the duration with which it was requested
     */
    record Win(
            TermRecord term,
            FencingTokens tokens,
            long revision,
            String leaseId,
            long requestedAt,
            long leaseDurationMs) {}

    /**
     * Creates a campaign that has not started.
     *
     * @param leaseDurationMs returns the duration of the lease to request, given the one that the last leader recorded
     */
    LeaderCampaign(
            Environment environment,
            KeyValueStoreClient store,
            String node,
            LinkHealth links,
            boolean countsAdmissions,
            int tokensPerTerm,
            LongUnaryOperator leaseDurationMs,
            Listener listener) {
        this.environment = environment;
        this.store = store;
        this.node = node;
        this.links = links;
        this.countsAdmissions = countsAdmissions;
        this.tokensPerTerm = tokensPerTerm;
        this.leaseDurationMs = leaseDurationMs;
        this.listener = listener;
    }

    /** Starts to follow the leader key. */
    void start() {
        checkLeaderKey(++generation);
    }

    /** Stops following the leader key because this controller leads. */
    void stop() {
        generation++;
    }

    /** Revokes the lease of a win that came too late and follows the leader key again. */
    void abandon(String leaseId) {
        store.revokeLease(leaseId, () -> {});
        checkLater(CAMPAIGN_LOST_RETRY_MS, ++generation);
    }

    private void checkLater(long delayMs, int stepGeneration) {
        environment.schedule(delayMs / 2 + environment.random().nextLong(delayMs), () -> {
            if (generation == stepGeneration) {
                checkLeaderKey(stepGeneration);
            }
        });
    }

    private void checkLeaderKey(int stepGeneration) {
        store.scan(LeaderElection.PREFIX, true, result -> {
            if (generation != stepGeneration) {
                return;
            }
            if (result.failed()) {
                checkLater(REQUEST_FAILED_RETRY_MS, stepGeneration);
            } else {
                handleScanResult(stepGeneration, result);
            }
        });
    }

    private void handleScanResult(int stepGeneration, ScanResult result) {
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
            campaignUnlessDelayed(stepGeneration, storedTerm);
        } else if (holder.node().equals(node)) {
            // An earlier process of this controller, or a campaign with an unknown outcome, left the key behind; nobody
            // leads with it.
            store.revokeLease(holder.leaseId(), () -> checkLater(LEASE_REVOKED_RETRY_MS, stepGeneration));
        } else {
            listener.observeTerm(holder.term(), holder.node());
            watch(stepGeneration, result.revision());
        }
    }

    private void watch(int stepGeneration, long revision) {
        store.watch(LeaderElection.PREFIX, revision, WATCH_TIMEOUT_MS, result -> {
            if (generation == stepGeneration) {
                handleWatchResult(stepGeneration, revision, result);
            }
        });
    }

    private void handleWatchResult(int stepGeneration, long revision, WatchResult result) {
        if (result == null) {
            checkLater(REQUEST_FAILED_RETRY_MS, stepGeneration);
        } else if (result.changed()) {
            checkLeaderKey(stepGeneration);
        } else {
            watch(stepGeneration, Math.max(revision, result.revision()));
        }
    }

    /**
     * Campaigns, or lets other controllers campaign first for a while if their links are better or this controller has
     * just released the leadership.
     */
    private void campaignUnlessDelayed(int stepGeneration, TermRecord storedTerm) {
        long delayMs = links.electionDelayMs();
        if (delayMs > 0) {
            checkLater(Math.min(delayMs, DELAYED_CAMPAIGN_CHECK_MS), stepGeneration);
        } else {
            campaign(stepGeneration, storedTerm);
        }
    }

    private void campaign(int stepGeneration, TermRecord storedTerm) {
        long requestedAt = environment.now();
        long durationMs = leaseDurationMs.applyAsLong(storedTerm.leaseMs());
        store.grantLease(durationMs, lease -> {
            if (generation != stepGeneration) {
                return;
            }
            if (lease == null) {
                checkLater(REQUEST_FAILED_RETRY_MS, stepGeneration);
            } else {
                writeLeaderKey(stepGeneration, storedTerm, new RequestedLease(lease, requestedAt, durationMs));
            }
        });
    }

    private record RequestedLease(LeaseGrant grant, long requestedAt, long durationMs) {}

    private void writeLeaderKey(int stepGeneration, TermRecord storedTerm, RequestedLease lease) {
        String leaseId = lease.grant.id();
        FencingTokens tokens = FencingTokens.after(Math.max(listener.term(), storedTerm.term()), tokensPerTerm);
        TermRecord next = storedTerm.next(tokens, countsAdmissions);
        LeaderRecord leader = new LeaderRecord(node, tokens.term(), leaseId);
        CommitRequest request = new CommitRequest()
                .compare(LeaderElection.LEADER_KEY, 0)
                .compare(LeaderElection.TERM_KEY, storedTerm.revision())
                .put(LeaderElection.LEADER_KEY, leader.write(), lease.grant)
                .put(LeaderElection.TERM_KEY, next.write());
        store.commit(request, true, result -> {
            if (generation != stepGeneration) {
                return;
            }
            if (result.outcome() == CommitResult.Outcome.APPLIED) {
                listener.won(new Win(
                        next.atRevision(result.revision()),
                        tokens,
                        result.revision(),
                        leaseId,
                        lease.requestedAt,
                        lease.durationMs));
            } else {
                // If the outcome is unknown and the key was written, the next check finds it and revokes its lease.
                store.revokeLease(leaseId, () -> {});
                checkLater(CAMPAIGN_LOST_RETRY_MS, stepGeneration);
            }
        });
    }
}
