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
 * Renews workers' leases while nobody can lead, as when the key-value store is down and the leader has crashed.
 *
 * <p>A heartbeat may be answered with the worker's own fencing token, and without commands but kills of cancelled jobs'
 * tasks, once every other controller has said, after the heartbeat arrived, that it does not lead, and enough of them
 * are informed to know every cancellation together ({@link CancellationQuorum}). A leader of that token is then gone
 * for good, since nobody resumes a term and later terms are higher; so nobody counts on that lease's expiry. A later
 * leader counts a lease expiry only from when the worker accepted its term, or every controller acknowledged it.
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

    /** One question to all peers whether anybody leads, on behalf of a batch of heartbeats. */
    private final class Poll {
        private final List<WaitingHeartbeat> batch;
        private int repliesLeft = peers.size();
        private boolean nobodyLeads = true;
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

        private void receive(PeerMessage record) {
            if (record instanceof TermAnnouncement reply) {
                count(reply);
            } else {
                nobodyLeads = false; // a peer that does not answer may lead
            }
            if (--repliesLeft == 0) {
                answer(batch, mayRenew());
            }
        }

        private void count(TermAnnouncement reply) {
            election.announcements().observe(reply);
            election.cancellations().receive(reply, false);
            nobodyLeads &= !reply.senderLeads();
            if (reply.knowledge() != null && reply.knowledge().informed()) {
                informedPeers++;
            }
        }

        /** Whether nobody leads, and the processes together know every cancellation. */
        private boolean mayRenew() {
            int informed = informedPeers + (election.cancellations().informed() ? 1 : 0);
            return nobodyLeads
                    && !election.leading()
                    && informed >= CancellationQuorum.informedQuorum(peers.size() + 1);
        }
    }

    /** A renewal that asks the peers named in the settings. */
    public LeaderlessLeaseRenewal(Environment environment, LeaderElection election, List<Settings.Peer> peers) {
        this.environment = environment;
        this.election = election;
        this.peers = peers;
    }

    /** Takes a heartbeat that no leader can be found for; it is answered with 200 or 503. */
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
