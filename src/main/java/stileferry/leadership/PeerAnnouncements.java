package stileferry.leadership;

import java.util.Arrays;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessage.TermAnnouncement;
import stileferry.protocol.Settings;

/**
 * Exchanges terms and cancellations with the other controllers. A leader announces its term once a second, which
 * also shows that it is there, and new cancellations at once; it collects who acknowledged its term.
 */
final class PeerAnnouncements {
    private static final long INTERVAL_MS = 1000;
    private static final long TIMEOUT_MS = 1000;
    private static final long NOT_ACKNOWLEDGED = -1;

    private final Environment environment;
    private final Settings settings;
    private final LinkHealth links;
    private final LeaderElection election;
    private final CancellationQuorum cancellations;

    /** By the peer's index: when it first acknowledged this term. */
    private final long[] acknowledgedAt;

    /** By the peer's index: an announcement has not been answered yet. */
    private final boolean[] awaitingReply;

    private long leadingSince;
    private long consentedToLeaderlessRenewalAt;

    PeerAnnouncements(
            Environment environment,
            Settings settings,
            LinkHealth links,
            LeaderElection election,
            CancellationQuorum cancellations) {
        this.environment = environment;
        this.settings = settings;
        this.links = links;
        this.election = election;
        this.cancellations = cancellations;
        this.acknowledgedAt = new long[settings.peers().size()];
        this.awaitingReply = new boolean[settings.peers().size()];
        // what an earlier process of this node consented to is not known
        this.consentedToLeaderlessRenewalAt = environment.now();
    }

    /** Announces regularly while this node leads. */
    void start() {
        if (election.leading()) {
            announceToAll();
        }
        environment.schedule(INTERVAL_MS, this::start);
    }

    /** This node leads from now on; nobody has acknowledged its term. */
    void beginTerm() {
        leadingSince = environment.now();
        Arrays.fill(acknowledgedAt, NOT_ACKNOWLEDGED);
    }

    void announceToAll() {
        for (int peer = 0; peer < acknowledgedAt.length; peer++) {
            announceTo(peer);
        }
    }

    /** Announces to those who have not acknowledged a cancellation; what comes up meanwhile goes out together. */
    void announceCancellations() {
        for (int peer = 0; peer < acknowledgedAt.length && election.leading(); peer++) {
            if (!awaitingReply[peer] && cancellations.hasUnacknowledged(peer)) {
                announceTo(peer);
            }
        }
    }

    /** When the last controller acknowledged this term, after which none speaks for an older one; -1: not yet. */
    long acknowledgedByAllPeersAt() {
        long last = leadingSince;
        for (long at : acknowledgedAt) {
            if (at == NOT_ACKNOWLEDGED) {
                return NOT_ACKNOWLEDGED;
            }
            last = Math.max(last, at);
        }
        return last;
    }

    /** What this controller announces to another one. */
    TermAnnouncement announcementTo(int peer) {
        return announcement(cancellations.knowledgeFor(peer, election.leaseHeld()));
    }

    private TermAnnouncement announcement(PeerMessage.CancellationKnowledge knowledge) {
        return new TermAnnouncement(election.term(), election.leader(), election.leading(), knowledge)
                .withLinkViewParticipants(links.controllersExchangingViews());
    }

    private void announceTo(int peer) {
        long announcedTerm = election.term();
        long sentAt = environment.now();
        TermAnnouncement sent = announcementTo(peer);
        awaitingReply[peer] = true;
        environment.sendToPeer(settings.peers().get(peer), sent, TIMEOUT_MS, record -> {
            awaitingReply[peer] = false;
            if (record instanceof TermAnnouncement reply) {
                links.announcementReceived(settings.peers().get(peer).name(), reply);
                if (election.leading() && election.term() == announcedTerm) {
                    acknowledged(peer, reply, sentAt, sent);
                }
                observe(reply);
                announceCancellations();
            }
        });
    }

    private void acknowledged(int peer, TermAnnouncement reply, long sentAt, TermAnnouncement sent) {
        if (reply.term() == sent.term() && acknowledgedAt[peer] == NOT_ACKNOWLEDGED) {
            acknowledgedAt[peer] = environment.now();
        }
        cancellations.receiveReply(peer, reply, sentAt, sent);
    }

    /** Takes another controller's announcement and answers with what this one knows. */
    TermAnnouncement receive(TermAnnouncement received) {
        observe(received);
        cancellations.receive(received, received.term() >= election.term());
        if (!received.senderLeads() && !election.leading()) {
            consentToLeaderlessRenewal(); // a controller that does not lead announces only to ask for that
        }
        return announcement(cancellations.knowledgeInReplyTo(received));
    }

    /** Takes in an announcement's term. Only a leader speaks for itself: whom others believe in may be long gone. */
    void observe(TermAnnouncement received) {
        election.observeTerm(received.term(), received.senderLeads() ? received.leader() : "");
    }

    /** Takes in that another controller may answer heartbeats without a leader that were sent until now. */
    void consentToLeaderlessRenewal() {
        consentedToLeaderlessRenewalAt = environment.now();
    }

    long consentedToLeaderlessRenewalAt() {
        return consentedToLeaderlessRenewalAt;
    }
}
