package stileferry.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.KeyValue;
import stileferry.protocol.KeyValueStoreProtocol.CommitRequest;
import stileferry.protocol.KeyValueStoreProtocol.CommitResult;
import stileferry.protocol.KeyValueStoreProtocol.LeaseRenewal;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.storage.KeyValueStoreClient;

/**
 * Who leads. A leased key in the state service names the leader, and a counter beside it gives each leader a term
 * that never decreases. This class follows the key, runs for it when it is gone, keeps it when it is won, and
 * remembers the highest term that anybody told.
 */
public final class LeaderElection {
    static final String PREFIX = "a/";
    public static final String LEADER_KEY = "a/lead";
    public static final String TERM_KEY = "a/term";

    /** Holds the operators' settings. */
    public static final String OPERATOR_SETTINGS_KEY = "a/options";

    private static final Logger LOG = LoggerFactory.getLogger("leadership");

    /** Clocks drift apart by 0.05% at most; this is twice that, and a little for the timers. */
    private static final double DRIFT = 0.001;

    /** The leader key's lease in report intervals: users wait that long after a crash. */
    private static final double LIFE_IN_REPORTS = 0.6;

    /** At most this share of a worker's lease: a crash must leave time to take over before tasks are lost. */
    private static final double LIFE_IN_LEASES = 1 / 3.0;

    private static final long TIMER_SLACK_MS = 50;

    /** A worker that notices its lease's end late, and has much to end. */
    private static final long RENEW_SLACK_MS = 1000;

    private static final long WATCH_MS = 10_000;
    private static final long ANNOUNCE_MS = 1000;
    private static final long ABSTAINING_LOOK_MS = 200;

    private final Environment environment;
    private final KeyValueStoreClient state;
    private final Settings settings;
    private final Listener listener;
    private final LinkHealth links;
    private final boolean countsAdmissions;
    private final long leaseDurationMs;
    private final long renewMs;
    private final long[] ackedAt;
    private final boolean[] telling;
    private final CancellationQuorum cancellations;

    private long term;

    /**
     * The first of the terms up to this one whose leaders have all counted what they accepted; 0: this one does not.
     */
    private long admissionsCountedSince;

    private String leader = "";
    private long leaderLastHeardAt;
    private boolean leading;
    private long leaderRevision;
    private String lease;
    private long sureUntil;
    private long ledSince;
    private int round;
    private long consentedToLeaderlessRenewalAt;

    /** What the coordinator wants to know. */
    public interface Listener {
        /** This node leads from now on. */
        void elected(long term, long leaderRevision);

        /** This node no longer leads. */
        void deposed();

        /** The operators' settings as they are stored; only told to followers. */
        void operatorSettings(JsonNode stored);
    }

    /** {@code countsAdmissions}: whether this controller counts what it accepts while it leads. */
    public LeaderElection(
            Environment environment,
            KeyValueStoreClient state,
            Settings settings,
            Listener listener,
            LinkHealth links,
            boolean countsAdmissions) {
        this.environment = environment;
        this.state = state;
        this.settings = settings;
        this.listener = listener;
        this.links = links;
        this.countsAdmissions = countsAdmissions;
        this.leaseDurationMs = leaseDurationMs(settings);
        this.renewMs = renewMs(settings);
        this.ackedAt = new long[settings.peers().size()];
        this.telling = new boolean[settings.peers().size()];
        this.cancellations = new CancellationQuorum(environment, settings);
        this.consentedToLeaderlessRenewalAt =
                environment.now(); // what a former life of this process consented to is not known
    }

    /**
     * How long the leader key's lease is. On a small share of a core 1.5 s are 0.15 s of work: a leader that was merely
     * busy lost its lease, and the next one had so much to read and to ask that it lost it too: on one day 31 terms
     * began in five minutes.
     */
    public static long leaseDurationMs(Settings settings) {
        double ample = Math.max(1000, Math.min(1500, settings.workers().heartbeatIntervalS() * LIFE_IN_REPORTS * 1000));
        double most = Math.max(ample, settings.workers().leaseS() * 1000 * LIFE_IN_LEASES);
        return Math.round(Math.min(most, ample * settings.slowness()));
    }

    /**
     * For how long after a moment leases may be renewed whatever was confirmed later: a lease renewed then ends, with
     * all clocks against us, within a cancellation's time after that moment.
     */
    private static long renewMs(Settings settings) {
        double cancelMs = 1000 * settings.workers().cancelS();
        double leaseMs = 1000 * settings.workers().leaseS();
        return Math.round(cancelMs - leaseMs - DRIFT * (cancelMs + leaseMs)) - RENEW_SLACK_MS;
    }

    public void start() {
        look(++round);
        ping();
    }

    public long term() {
        return term;
    }

    public boolean leading() {
        return leading;
    }

    /** The first term of the unbroken run of leaders that count admissions, up to this node's term; 0: it does not. */
    public long admissionsCountedSince() {
        return admissionsCountedSince;
    }

    /** True while this node's lease cannot have ended, counted from when its renewal was sent. */
    public boolean leaseHeld() {
        return leading && environment.now() < sureUntil;
    }

    /**
     * Whether workers' leases may be renewed by this leader. While it is sure, nobody else confirms cancellations.
     * Later another leader may, and a task must not outlive that on a lease which this one renews. So it goes on only
     * while enough other controllers say that there is no other leader, and for as long as what it renews will still
     * lapse in time.
     */
    public boolean mayRenewWorkerLeases() {
        return leaseHeld()
                || leading && environment.now() < Math.max(sureUntil, cancellations.nothingMissedUntil()) + renewMs;
    }

    /** What this process knows of cancelled jobs. */
    public CancellationQuorum cancellations() {
        return cancellations;
    }

    /** Tells the other controllers at once that a job's cancellation is durable; the action runs when enough know. */
    public void confirmCancellation(String id, Runnable then) {
        cancellations.confirm(id, then);
        tell();
    }

    /** The leader's name; empty when nobody is known to lead. */
    public String leader() {
        return leading ? settings.controllerName() : leader;
    }

    /** The leader as a peer; null when it is this node or unknown. */
    public Settings.Peer leaderPeer() {
        if (!leading) {
            for (Settings.Peer peer : settings.peers()) {
                if (peer.name().equals(leader)) {
                    return peer;
                }
            }
        }
        return null;
    }

    public long leaderLastHeardAt() {
        return leaderLastHeardAt;
    }

    /** When the last controller acknowledged this term, after which none speaks for an older one; -1: not yet. */
    public long acknowledgedByAllPeersAt() {
        long last = ledSince;
        for (long at : ackedAt) {
            if (at < 0) {
                return -1;
            }
            last = Math.max(last, at);
        }
        return last;
    }

    /** Takes what another controller says and answers with what this one knows. */
    public PeerMessage.TermAnnouncement receive(PeerMessage.TermAnnouncement heard) {
        observeTerm(heard);
        cancellations.heard(heard, heard.term() >= term);
        if (!heard.leading() && !leading) {
            consent(); // who does not lead asks only for that
        }
        return new PeerMessage.TermAnnouncement(term, leader(), leading, cancellations.answer(heard))
                .with(links.controllersExchangingViews());
    }

    /** Takes in that another controller may answer reports without a leader that were sent until now. */
    void consent() {
        consentedToLeaderlessRenewalAt = environment.now();
    }

    /** When this process last let another one answer reports without a leader; it has not done so since. */
    public long consentedToLeaderlessRenewalAt() {
        return consentedToLeaderlessRenewalAt;
    }

    /** What this controller tells another one. */
    PeerMessage.TermAnnouncement words(int peer) {
        return new PeerMessage.TermAnnouncement(term, leader(), leading, cancellations.words(peer, leaseHeld()))
                .with(links.controllersExchangingViews());
    }

    /** Takes another controller's words. Only a leader speaks for itself: whom others believe in may be long gone. */
    void observeTerm(PeerMessage.TermAnnouncement heard) {
        observeTerm(heard.term(), heard.leading() ? heard.leader() : "");
    }

    /** Takes a term seen anywhere: in another controller's words or in a worker's report. */
    public void observeTerm(long heardTerm, String heardLeader) {
        if (heardTerm < term) {
            return;
        }
        if (heardTerm > term) {
            term = heardTerm;
            leader = "";
            if (leading) {
                LOG.info("term {} exists, this node no longer leads", heardTerm);
                stepDown();
            }
        }
        if (!heardLeader.isEmpty() && !heardLeader.equals(settings.controllerName()) && !leading) {
            leader = heardLeader;
            leaderLastHeardAt = environment.now();
        }
    }

    /** Gives the leadership up, for example after a transaction has failed its comparison. */
    public void resign() {
        if (leading) {
            LOG.info("giving up term {}", term);
            String old = lease;
            stepDown();
            state.revokeLease(old, () -> {});
        }
    }

    private void stepDown() {
        leading = false;
        cancellations.end();
        sureUntil = 0;
        leader = "";
        listener.deposed();
        look(++round);
    }

    private void later(long ms, int forRound, Runnable task) {
        environment.schedule(ms / 2 + environment.random().nextLong(ms), () -> {
            if (round == forRound) {
                task.run();
            }
        });
    }

    /** Reads the leader key and decides what to do next. Every step belongs to a round; an outdated one stops. */
    private void look(int forRound) {
        state.scan(PREFIX, true, rows -> {
            if (round != forRound || leading) {
                return;
            }
            if (rows.failed()) {
                later(400, forRound, () -> look(forRound));
                return;
            }
            TermRecord stored = TermRecord.NONE;
            LeaderRecord holder = null;
            for (KeyValue row : rows.rows()) {
                if (row.key().equals(LEADER_KEY)) {
                    holder = LeaderRecord.read(row);
                } else if (row.key().equals(OPERATOR_SETTINGS_KEY)) {
                    listener.operatorSettings(row.value());
                } else if (row.key().equals(TERM_KEY)) {
                    stored = TermRecord.read(row);
                }
            }
            if (holder == null) {
                observeTerm(stored.term(), "");
                runOrAbstain(forRound, stored);
            } else if (holder.node().equals(settings.controllerName())) {
                // left by this node's former life, or by an attempt that was given up: nobody uses it
                state.revokeLease(holder.leaseId(), () -> later(60, forRound, () -> look(forRound)));
            } else {
                observeTerm(holder.term(), holder.node());
                watch(forRound, rows.revision());
            }
        });
    }

    /** Leaves a free leadership to others for a while if their links are better, or this node has just released it. */
    private void runOrAbstain(int forRound, TermRecord stored) {
        long abstainMs = links.electionDelayMs();
        if (abstainMs > 0) {
            later(Math.min(abstainMs, ABSTAINING_LOOK_MS), forRound, () -> look(forRound));
        } else {
            run(forRound, stored);
        }
    }

    private void watch(int forRound, long revision) {
        state.watch(PREFIX, revision, WATCH_MS, result -> {
            if (round != forRound || leading) {
                return;
            }
            if (result == null) {
                later(400, forRound, () -> look(forRound));
            } else if (!result.changed()) {
                watch(forRound, Math.max(revision, result.revision()));
            } else {
                look(forRound);
            }
        });
    }

    private void run(int forRound, TermRecord stored) {
        long sentAt = environment.now();
        state.grantLease(leaseDurationMs, granted -> {
            if (round != forRound || leading) {
                return;
            }
            if (granted == null) {
                later(400, forRound, () -> look(forRound));
                return;
            }
            TermRecord next = stored.next(Math.max(term, stored.term()) + 1, countsAdmissions);
            CommitRequest request = new CommitRequest()
                    .compare(LEADER_KEY, 0)
                    .compare(TERM_KEY, stored.revision())
                    .put(
                            LEADER_KEY,
                            new LeaderRecord(settings.controllerName(), next.term(), granted.id()).write(),
                            granted)
                    .put(TERM_KEY, next.write());
            state.commit(request, true, result -> {
                if (round != forRound || leading) {
                    return;
                }
                if (result.outcome() == CommitResult.Outcome.APPLIED) {
                    win(next, result.revision(), granted.id(), sentAt);
                } else {
                    // if the outcome is unknown, the next look finds the key and ends its lease
                    state.revokeLease(granted.id(), () -> {});
                    later(100, forRound, () -> look(forRound));
                }
            });
        });
    }

    private void win(TermRecord won, long revision, String wonLease, long sentAt) {
        if (won.term() < term) { // a higher term was heard meanwhile: this one would be ignored
            state.revokeLease(wonLease, () -> {});
            int now = ++round;
            later(100, now, () -> look(now));
            return;
        }
        term = won.term();
        admissionsCountedSince = won.admissionsCountedSince();
        leading = true;
        leader = settings.controllerName();
        leaderRevision = revision;
        lease = wonLease;
        ledSince = environment.now();
        java.util.Arrays.fill(ackedAt, -1);
        cancellations.begin();
        sureUntil = 0;
        trust(sentAt);
        LOG.info("leading in term {}", term);
        int now = ++round;
        environment.schedule(leaseDurationMs / 5, () -> renew(now));
        announce();
        listener.elected(term, leaderRevision);
    }

    private void trust(long sentAt) {
        sureUntil = Math.max(sureUntil, sentAt + Math.round(leaseDurationMs * (1 - DRIFT)) - TIMER_SLACK_MS);
    }

    /** Renews again whether or not the last renewal was answered: a service that is slow now and then is not down. */
    private void renew(int forRound) {
        if (round != forRound || !leading) {
            return;
        }
        long sentAt = environment.now();
        boolean wasSure = leaseHeld();
        state.renewLease(lease, leaseDurationMs, renewal -> {
            if (round != forRound || !leading) {
                return;
            }
            if (renewal.outcome() == LeaseRenewal.Outcome.RENEWED) {
                if (!leaseHeld()) {
                    LOG.info("the state service answers again, still leading in term {}", term);
                }
                trust(sentAt);
            } else if (renewal.outcome() == LeaseRenewal.Outcome.EXPIRED) {
                LOG.info("the lease of term {} has ended", term);
                stepDown();
            } else if (wasSure && !leaseHeld()) {
                LOG.info(
                        "not sure to lead any more: the lease of term {} could not be renewed ({})",
                        term,
                        renewal.status());
            }
        });
        environment.schedule(leaseDurationMs / 5, () -> renew(forRound));
    }

    /** The leader tells everybody its term once a second; that also tells them that it is there. */
    private void ping() {
        if (leading) {
            announce();
        }
        environment.schedule(1000, this::ping);
    }

    private void announce() {
        for (int i = 0; i < ackedAt.length; i++) {
            announce(i);
        }
    }

    /** Tells those who have not been told of a cancellation; what comes up meanwhile goes out together. */
    private void tell() {
        for (int i = 0; i < ackedAt.length && leading; i++) {
            if (!telling[i] && cancellations.tells(i)) {
                announce(i);
            }
        }
    }

    private void announce(int peer) {
        long told = term;
        long sentAt = environment.now();
        PeerMessage.TermAnnouncement words = words(peer);
        telling[peer] = true;
        environment.sendToPeer(settings.peers().get(peer), words, ANNOUNCE_MS, record -> {
            telling[peer] = false;
            if (record instanceof PeerMessage.TermAnnouncement answer) {
                links.announcementReceived(settings.peers().get(peer).name(), answer);
                if (leading && term == told) {
                    if (answer.term() == told && ackedAt[peer] < 0) {
                        ackedAt[peer] = environment.now();
                    }
                    cancellations.answered(peer, answer, sentAt, told, words.knowledge());
                }
                observeTerm(answer);
                tell();
            }
        });
    }
}
