package stileferry.leadership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessage.TermAnnouncement;
import stileferry.protocol.Settings;
import stileferry.protocol.UserMessages;
import stileferry.protocol.WorkerMessages;

/**
 * Renews workers' leases while no controller can lead, for example when the key-value store is down and the leader has
 * crashed.
 *
 * <p>A controller may respond to a heartbeat with the worker's own fencing token, and with no commands other than kills
 * for tasks of cancelled jobs, once every other controller has reported, after the heartbeat arrived, that it does not
 * lead, and enough controllers are informed to know every cancellation together ({@link CancellationQuorum}). The
 * leader that issued the token then no longer leads and never will again, because no controller resumes a term and
 * later terms are higher; so no leader relies on the expiry of the renewed lease. A later leader computes the expiry of
 * a worker's lease only from when the worker accepted its term or every controller acknowledged it.
 */
public final class LeaderlessLeaseRenewal {
    private static final Logger LOG = LoggerFactory.getLogger("renewal");
    private static final long POLL_TIMEOUT_MS = 800;

    private final Environment environment;
    private final LeaderElection election;
    private final List<Settings.Peer> peers;
    private List<WaitingHeartbeat> waiting = new ArrayList<>();
    private boolean polling;
    private boolean renewing;

    private record WaitingHeartbeat(Heartbeat heartbeat, BiConsumer<Integer, byte[]> reply) {}

    /** Asks all peers once whether they lead, on behalf of a batch of heartbeats. */
    private final class Poll {
        private final List<WaitingHeartbeat> batch;
        private int pendingReplies = peers.size();
        private boolean noPeerLeads = true;
        private int informedPeers;

        Poll(List<WaitingHeartbeat> batch) {
            this.batch = batch;
        }

        void send() {
            for (int peer = 0; peer < peers.size(); peer++) {
                TermAnnouncement announcement = election.announcements().announcementTo(peer);
                environment.sendToPeer(peers.get(peer), announcement, POLL_TIMEOUT_MS, this::receive);
            }
            if (peers.isEmpty()) {
                answer(batch, mayRenew());
            }
        }

        private void receive(PeerMessage message) {
            if (message instanceof TermAnnouncement reply) {
                recordReply(reply);
            } else {
                noPeerLeads = false; // a peer that does not reply may be the leader
            }
            if (--pendingReplies == 0) {
                answer(batch, mayRenew());
            }
        }

        private void recordReply(TermAnnouncement reply) {
            election.announcements().observe(reply);
            election.cancellations().receive(reply, false);
            noPeerLeads &= !reply.senderLeads();
            if (reply.knowledge() != null && reply.knowledge().informed()) {
                informedPeers++;
            }
        }

        /** Returns whether no controller leads and the informed processes together know every cancellation. */
        private boolean mayRenew() {
            int informed = informedPeers + (election.cancellations().informed() ? 1 : 0);
            return noPeerLeads
                    && !election.leading()
                    && informed >= CancellationQuorum.informedQuorum(peers.size() + 1);
        }
    }

    /** Creates a renewal that polls the given peers. */
    public LeaderlessLeaseRenewal(Environment environment, LeaderElection election, List<Settings.Peer> peers) {
        this.environment = environment;
        this.election = election;
        this.peers = peers;
    }

    /** Accepts a heartbeat for which no leader can be found; the reply has HTTP status 200 or 503. */
    public void requestRenewal(Heartbeat heartbeat, BiConsumer<Integer, byte[]> reply) {
        waiting.add(new WaitingHeartbeat(heartbeat, reply));
        poll();
    }

    private void poll() {
        if (polling || waiting.isEmpty()) {
            return;
        }
        polling = true;
        List<WaitingHeartbeat> batch = waiting;
        waiting = new ArrayList<>();
        election.announcements().consentToLeaderlessRenewal();
        new Poll(batch).send();
    }

    private void answer(List<WaitingHeartbeat> batch, boolean mayRenew) {
        polling = false;
        if (mayRenew != renewing) {
            renewing = mayRenew;
            LOG.info(mayRenew ? "leaderless lease renewal started" : "leaderless lease renewal stopped");
        }
        for (WaitingHeartbeat heartbeat : batch) {
            if (mayRenew) {
                renew(heartbeat);
            } else {
                heartbeat.reply.accept(503, MessageCodec.encode(UserMessages.error("no leader known")));
            }
        }
        poll();
    }

    private void renew(WaitingHeartbeat waitingHeartbeat) {
        Heartbeat heartbeat = waitingHeartbeat.heartbeat;
        byte[] response = MessageCodec.encode(WorkerMessages.heartbeatResponse(
                heartbeat.fencingToken(), election.cancellations().killCommandsFor(heartbeat)));
        waitingHeartbeat.reply.accept(200, response);
    }
}
