package stileferry.leadership;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.OperatorSettings;
import stileferry.protocol.PeerMessage.TermAnnouncement;
import stileferry.protocol.Settings;
import stileferry.storage.KeyValueStoreClient;

/**
 * Elects the leader and tracks who leads, as far as this controller knows. A leased key in the key-value store names
 * the leader, and a second key holds the highest term, which never decreases. {@link LeaderCampaign} watches and
 * acquires the leader key, {@link LeaderLease} renews its lease, and {@link PeerAnnouncements} announces the term to
 * the other controllers.
 */
public final class LeaderElection {
    /** Prefix of the keys below; followers watch it. */
    static final String PREFIX = "a/";

    /** Key that names the leader; the store deletes it when the leader's lease ends. */
    public static final String LEADER_KEY = "a/lead";

    /** Key of the highest term, stored as a {@link TermRecord}. */
    public static final String TERM_KEY = "a/term";

    /** Key of the operators' settings. */
    public static final String OPERATOR_SETTINGS_KEY = "a/options";

    private static final Logger LOG = LoggerFactory.getLogger("leadership");

    private final Environment environment;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final Listener listener;
    private final LeaderCampaign campaign;
    private final LeaderLease lease;
    private final CancellationQuorum cancellations;
    private final PeerAnnouncements announcements;
    private final LeaseDurationRecord leaseDurationRecord;

    private boolean leading;
    private long term;
    private long admissionsCountedSince;

    /** Name of the other controller that leads in the current term, or an empty string if it is unknown. */
    private String otherLeader = "";

    private long leaderLastHeardAt;

    /** Receives changes of leadership; implemented by the coordinator. */
    public interface Listener {
        /** Called when this controller becomes the leader; {@code leaderRevision} is the revision of the leader key. */
        void elected(FencingTokens tokens, long leaderRevision);

        /** Called when this controller stops leading. */
        void deposed();

        /** Called, on followers only, when the operators' settings have been read. */
        void operatorSettings(OperatorSettings operatorSettings);
    }

    /**
     * Creates the election without starting it.
     *
     * @param countsAdmissions whether this controller counts the jobs that it accepts while it leads
     * @param tokensPerTerm how many fencing tokens a term owns in which this controller leads
     */
    public LeaderElection(
            Environment environment,
            KeyValueStoreClient store,
            Settings settings,
            Listener listener,
            LinkHealth links,
            boolean countsAdmissions,
            int tokensPerTerm) {
        this.environment = environment;
        this.store = store;
        this.settings = settings;
        this.listener = listener;
        this.lease = new LeaderLease(environment, store, settings, this::stepDown);
        this.leaseDurationRecord = new LeaseDurationRecord(environment, store, lease.usualDurationMs(), lease::held);
        this.campaign = new LeaderCampaign(
                environment,
                store,
                settings.controllerName(),
                links,
                countsAdmissions,
                tokensPerTerm,
                lease::nextDurationMs,
                forCampaign());
        this.cancellations = new CancellationQuorum(environment, settings);
        this.announcements = new PeerAnnouncements(environment, settings, links, this, cancellations);
    }

    private LeaderCampaign.Listener forCampaign() {
        return new LeaderCampaign.Listener() {
            @Override
            public long term() {
                return term;
            }

            @Override
            public void observeTerm(long observedTerm, String leader) {
                LeaderElection.this.observeTerm(observedTerm, leader);
            }

            @Override
            public void operatorSettings(OperatorSettings operatorSettings) {
                listener.operatorSettings(operatorSettings);
            }

            @Override
            public void won(LeaderCampaign.Win win) {
                LeaderElection.this.won(win);
            }
        };
    }

    /** Returns the shortest duration of the leader key's lease in milliseconds. */
    public static long leaseDurationMs(Settings settings) {
        return LeaderLease.durationMs(settings);
    }

    /** Starts to follow the leader key and, while this controller leads, to announce its term periodically. */
    public void start() {
        campaign.start();
        announcements.announcePeriodically();
    }

    // ---- current leader and term

    /** Returns the highest term that this controller knows. */
    public long term() {
        return term;
    }

    /** Returns whether this controller leads, as far as it knows; see {@link #leaseHeld} for certainty. */
    public boolean leading() {
        return leading;
    }

    /** Returns the leader's name, or an empty string if no leader is known. */
    public String leader() {
        return leading ? settings.controllerName() : otherLeader;
    }

    /** Returns the leader as a peer, or null if this controller leads or the leader is unknown. */
    public Settings.Peer leaderPeer() {
        if (leading) {
            return null;
        }
        return settings.peers().stream()
                .filter(peer -> peer.name().equals(otherLeader))
                .findFirst()
                .orElse(null);
    }

    /** Returns when another leader was last seen in the store or in a message, in {@link Environment#now} time. */
    public long leaderLastHeardAt() {
        return leaderLastHeardAt;
    }

    /**
     * Returns the first term of the unbroken run of leaders that count admissions, up to the last term in which this
     * controller was elected, or 0 if this controller does not count them or was never elected.
     */
    public long admissionsCountedSince() {
        return admissionsCountedSince;
    }

    // ---- rights of the leader

    /**
     * Returns true while this controller leads and its lease cannot have ended, where the lease counts from when its
     * last successful request or renewal was sent.
     */
    public boolean leaseHeld() {
        return lease.held();
    }

    /** Returns whether another controller may lead by now, as this one's lease may have ended. */
    public boolean leaseMayHaveEnded() {
        return lease.mayHaveEnded();
    }

    /**
     * Returns whether this leader may renew workers' leases. While it holds its own lease, no other controller confirms
     * cancellations. Afterwards another leader may do so, and a task that it cancels must not keep running on a lease
     * renewed by this controller. So this controller continues only while enough other controllers report that there is
     * no other leader, and for as long as the leases that it renews still expire in time.
     */
    public boolean mayRenewWorkerLeases() {
        return leaseHeld() || lease.permitsWorkerRenewal(cancellations.noOtherConfirmationUntil());
    }

    /** Gives up leadership, for example after a transaction has failed its comparison; no effect on a follower. */
    public void resign() {
        if (leading) {
            LOG.info("leader resigned: term={}", term);
            String leaseId = lease.id();
            stepDown();
            store.revokeLease(leaseId, () -> {});
        }
    }

    /** Called by the leader with the number of machines of its fleet, on which the length of leases depends. */
    public void observeFleetSize(int machines) {
        lease.setFleetSize(machines);
        leaseDurationRecord.update(lease.neededDurationMs());
    }

    /** Returns whether the fleet is so large that its leaders need a longer lease than usual. */
    public boolean leadsLargeFleet() {
        return leading && lease.largeFleet();
    }

    // ---- announcements

    /** Returns what this process knows about cancelled jobs. */
    public CancellationQuorum cancellations() {
        return cancellations;
    }

    /** Returns the exchange of terms with the other controllers. */
    PeerAnnouncements announcements() {
        return announcements;
    }

    /**
     * Announces to the other controllers that a job's cancellation is durable; the action runs once enough of them
     * know, possibly within this call.
     */
    public void confirmCancellation(String jobId, Runnable onConfirmed) {
        cancellations.confirm(jobId, onConfirmed);
        announcements.announceCancellations();
    }

    /**
     * Returns when the last peer acknowledged this term, or -1 if not all of them have. From then on no controller acts
     * for an older term.
     */
    public long acknowledgedByAllPeersAt() {
        return announcements.acknowledgedByAllPeersAt();
    }

    /**
     * Returns when this process last consented to responses to heartbeats without a leader; the start of the process
     * if it has not.
     */
    public long consentedToLeaderlessRenewalAt() {
        return announcements.consentedToLeaderlessRenewalAt();
    }

    /** Processes another controller's announcement and returns the reply. */
    public TermAnnouncement receive(TermAnnouncement announcement) {
        return announcements.receive(announcement);
    }

    /**
     * Processes a term seen in any message, such as a worker's heartbeat; steps down if it is higher than this
     * leader's.
     *
     * @param leader the name of the controller that leads in the term, or an empty string if it is unknown
     */
    public void observeTerm(long observedTerm, String leader) {
        if (observedTerm < term) {
            return;
        }
        if (observedTerm > term) {
            term = observedTerm;
            otherLeader = "";
            if (leading) {
                LOG.info("higher term observed, this node no longer leads: term={}", observedTerm);
                stepDown();
            }
        }
        if (!leader.isEmpty() && !leader.equals(settings.controllerName()) && !leading) {
            if (!leader.equals(otherLeader)) {
                LOG.info("leader observed: term={} leader={}", observedTerm, leader);
            }
            otherLeader = leader;
            leaderLastHeardAt = environment.now();
        }
    }

    // ---- leadership changes

    private void won(LeaderCampaign.Win win) {
        if (win.term().term() < term) { // a higher term was observed meanwhile, so this one would be ignored
            campaign.abandon(win.leaseId());
        } else {
            becomeLeader(win);
        }
    }

    private void becomeLeader(LeaderCampaign.Win win) {
        term = win.term().term();
        admissionsCountedSince = win.term().admissionsCountedSince();
        leading = true;
        announcements.beginTerm();
        cancellations.beginTerm();
        LOG.info("leader elected: term={}", term);
        LOG.info(
                "fencing tokens: first={} last={}",
                win.tokens().first(),
                win.tokens().last());
        campaign.stop();
        lease.begin(win.leaseId(), term, win.requestedAt(), win.leaseDurationMs());
        leaseDurationRecord.beginTerm(win.term(), win.revision());
        announcements.announceToAll();
        listener.elected(win.tokens(), win.revision());
    }

    private void stepDown() {
        leading = false;
        cancellations.endTerm();
        lease.end();
        leaseDurationRecord.endTerm();
        otherLeader = "";
        listener.deposed();
        campaign.start();
    }
}
