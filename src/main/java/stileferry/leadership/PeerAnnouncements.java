package stileferry.leadership;

import java.util.Arrays;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessage.TermAnnouncement;
import stileferry.protocol.Settings;

/**
 * Exchanges terms and cancellations with the other controllers. A leader announces its term once a second, which also
 * shows that it is alive, and announces new cancellations at once. It records which peers have acknowledged its term.
 */
final class PeerAnnouncements {
    private static final long ANNOUNCEMENT_INTERVAL_MS = 1000;
    private static final long REPLY_TIMEOUT_MS = 1000;
    private static final long NOT_ACKNOWLEDGED = -1;

    private final Environment environment;
    private final Settings settings;
    private final LinkHealth links;
    private final LeaderElection election;
    private final CancellationQuorum cancellations;

    /** By peer index: when the peer first acknowledged this term, or {@link #NOT_ACKNOWLEDGED}. */
    private final long[] acknowledgedAt;

    /** By peer index: whether the reply to an announcement is outstanding. */
    private final boolean[] awaitingReply;

    private long termBeganAt;
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
        // An earlier process of this controller may have consented at any time until now.
        this.consentedToLeaderlessRenewalAt = environment.now();
    }

    /** Announces the term to all peers now, if this controller leads, and again after each interval. */
    void announcePeriodically() {
        if (election.leading()) {
            announceToAll();
        }
        environment.schedule(ANNOUNCEMENT_INTERVAL_MS, this::announcePeriodically);
    }

    /** Called when this controller becomes the leader; no peer has acknowledged its term yet. */
    void beginTerm() {
        termBeganAt = environment.now();
        Arrays.fill(acknowledgedAt, NOT_ACKNOWLEDGED);
    }

    void announceToAll() {
        for (int peer = 0; peer < acknowledgedAt.length; peer++) {
            announceTo(peer);
        }
    }

    /**
     * Announces cancellations to the peers that have not acknowledged all of them. Nothing is sent to a peer whose
     * reply is outstanding: cancellations that are made in the meantime are sent together afterwards.
     */
    void announceCancellations() {
        for (int peer = 0; peer < acknowledgedAt.length && election.leading(); peer++) {
            if (!awaitingReply[peer] && cancellations.hasUnacknowledged(peer)) {
                announceTo(peer);
            }
        }
    }

    /**
     * Returns when the last peer acknowledged this term, or -1 if not all of them have. From then on no controller acts
     * for an older term.
     */
    long acknowledgedByAllPeersAt() {
        long last = termBeganAt;
        for (long at : acknowledgedAt) {
            if (at == NOT_ACKNOWLEDGED) {
                return NOT_ACKNOWLEDGED;
            }
            last = Math.max(last, at);
        }
        return last;
    }

    /** Returns what this controller announces to a peer. */
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
        environment.sendToPeer(settings.peers().get(peer), sent, REPLY_TIMEOUT_MS, message -> {
            awaitingReply[peer] = false;
            if (message instanceof TermAnnouncement reply) {
                links.announcementReceived(settings.peers().get(peer).name(), reply);
                if (election.leading() && election.term() == announcedTerm) {
                    recordAcknowledgement(peer, reply, sentAt, sent);
                }
                observe(reply);
                announceCancellations();
            }
        });
    }

    private void recordAcknowledgement(int peer, TermAnnouncement reply, long sentAt, TermAnnouncement sent) {
        if (reply.term() == sent.term() && acknowledgedAt[peer] == NOT_ACKNOWLEDGED) {
            acknowledgedAt[peer] = environment.now();
        }
        cancellations.receiveReply(peer, reply, sentAt, sent);
    }

    /** Processes another controller's announcement and returns the reply. */
    TermAnnouncement receive(TermAnnouncement received) {
        observe(received);
        cancellations.receive(received, received.term() >= election.term());
        if (!received.senderLeads() && !election.leading()) {
            consentToLeaderlessRenewal(); // a follower sends an announcement only to ask for this consent
        }
        return announcement(cancellations.knowledgeInReplyTo(received));
    }

    /**
     * Processes the term of an announcement. The leader's name counts only if the leader itself sent the announcement,
     * because a leader that others name may have stopped leading long ago.
     */
    void observe(TermAnnouncement received) {
        election.observeTerm(received.term(), received.senderLeads() ? received.leader() : "");
    }

    /** Records the consent to responses without a leader for heartbeats sent up to now. */
    void consentToLeaderlessRenewal() {
        consentedToLeaderlessRenewalAt = environment.now();
    }

    long consentedToLeaderlessRenewalAt() {
        return consentedToLeaderlessRenewalAt;
    }
}
