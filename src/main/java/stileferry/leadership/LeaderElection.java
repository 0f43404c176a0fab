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
 * Who leads, as far as this node knows. A leased key in the key-value store names the leader, and a counter beside it
 * gives each leader a term that never decreases. {@link LeaderCampaign} follows and wins the key, {@link LeaderLease}
 * keeps it, {@link PeerAnnouncements} announces it to the other controllers.
 */
public final class LeaderElection {
    /** The prefix of the keys below, which followers watch. */
    static final String PREFIX = "a/";

    /** Names the leader; deleted with the leader's lease. */
    public static final String LEADER_KEY = "a/lead";

    /** Holds the highest term, see {@link TermRecord}. */
    public static final String TERM_KEY = "a/term";

    /** Holds the operators' settings. */
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

    private boolean leading;
    private long term;
    private long admissionsCountedSince;

    /** The other controller that leads in the term; empty: not known. */
    private String otherLeader = "";

    private long leaderLastHeardAt;

    /** What the coordinator is notified of. */
    public interface Listener {
        /** This node leads from now on. */
        void elected(long term, long leaderRevision);

        /** This node no longer leads. */
        void deposed();

        /** The operators' settings were read; called on followers only. */
        void operatorSettings(OperatorSettings operatorSettings);
    }

    /** {@code countsAdmissions}: whether this controller counts what it accepts while it leads. */
    public LeaderElection(
            Environment environment,
            KeyValueStoreClient store,
            Settings settings,
            Listener listener,
            LinkHealth links,
            boolean countsAdmissions) {
        this.environment = environment;
        this.store = store;
        this.settings = settings;
        this.listener = listener;
        this.lease = new LeaderLease(environment, store, settings, this::stepDown);
        this.campaign = new LeaderCampaign(
                environment,
                store,
                settings.controllerName(),
                links,
                countsAdmissions,
                lease.durationMs(),
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

    /** The duration of the leader key's lease in milliseconds. */
    public static long leaseDurationMs(Settings settings) {
        return LeaderLease.durationMs(settings);
    }

    /** Begins to follow the leader key and to announce. */
    public void start() {
        campaign.start();
        announcements.announcePeriodically();
    }

    // ---- who leads

    /** The highest term that this node knows. */
    public long term() {
        return term;
    }

    /** Whether this node leads, as far as it knows. */
    public boolean leading() {
        return leading;
    }

    /** The leader's name; empty when nobody is known to lead. */
    public String leader() {
        return leading ? settings.controllerName() : otherLeader;
    }

    /** The leader as a peer; null when it is this node or unknown. */
    public Settings.Peer leaderPeer() {
        if (leading) {
            return null;
        }
        return settings.peers().stream()
                .filter(peer -> peer.name().equals(otherLeader))
                .findFirst()
                .orElse(null);
    }

    /** When another leader was last seen in the store or in an announcement, in {@link Environment#now} time. */
    public long leaderLastHeardAt() {
        return leaderLastHeardAt;
    }

    /** The first term of the unbroken run of leaders that count admissions, up to this node's term; 0: it does not. */
    public long admissionsCountedSince() {
        return admissionsCountedSince;
    }

    // ---- what a leader may do

    /** True while this node leads and its lease cannot have ended, counted from when its renewal was sent. */
    public boolean leaseHeld() {
        return lease.held();
    }

    /**
     * Whether this leader may renew workers' leases. While it holds its lease, nobody else confirms cancellations.
     * Later another leader may, and a task must not outlive that on a lease which this one renews. So it goes on only
     * while enough other controllers say that there is no other leader, and for as long as what it renews will still
     * expire in time.
     */
    public boolean mayRenewWorkerLeases() {
        return leaseHeld() || lease.permitsWorkerRenewal(cancellations.noOtherConfirmationUntil());
    }

    /** Gives the leadership up, for example after a transaction has failed its comparison. */
    public void resign() {
        if (leading) {
            LOG.info("leader resigned: term={}", term);
            String leaseId = lease.id();
            stepDown();
            store.revokeLease(leaseId, () -> {});
        }
    }

    // ---- announcements

    /** What this process knows of cancelled jobs. */
    public CancellationQuorum cancellations() {
        return cancellations;
    }

    /** The exchange with the other controllers. */
    PeerAnnouncements announcements() {
        return announcements;
    }

    /** Announces to the other controllers that a job's cancellation is durable; the action runs when enough know. */
    public void confirmCancellation(String jobId, Runnable onConfirmed) {
        cancellations.confirm(jobId, onConfirmed);
        announcements.announceCancellations();
    }

    /** When the last controller acknowledged this term, after which none speaks for an older one; -1: not yet. */
    public long acknowledgedByAllPeersAt() {
        return announcements.acknowledgedByAllPeersAt();
    }

    /** When this process last let another one answer heartbeats without a leader; it has not done so since. */
    public long consentedToLeaderlessRenewalAt() {
        return announcements.consentedToLeaderlessRenewalAt();
    }

    /** Takes another controller's announcement and answers with what this one knows. */
    public TermAnnouncement receive(TermAnnouncement announcement) {
        return announcements.receive(announcement);
    }

    /** Takes in a term seen anywhere, as in a worker's heartbeat, and who leads in it; empty: not known. */
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
            otherLeader = leader;
            leaderLastHeardAt = environment.now();
        }
    }

    // ---- changes of leader

    private void won(LeaderCampaign.Win win) {
        if (win.term().term() < term) { // a higher term was observed meanwhile: this one would be ignored
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
        campaign.stop();
        lease.begin(win.leaseId(), term, win.requestedAt());
        announcements.announceToAll();
        listener.elected(term, win.revision());
    }

    private void stepDown() {
        leading = false;
        cancellations.endTerm();
        lease.end();
        otherLeader = "";
        listener.deposed();
        campaign.start();
    }
}
