package stileferry.heartbeat;

import java.util.function.BiConsumer;
import stileferry.leadership.LeaderElection;
import stileferry.leadership.LeaderlessLeaseRenewal;
import stileferry.links.LinkHealth;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.protocol.UserMessages;
import stileferry.protocol.WorkerMessages;

/** What becomes of a worker's report at a controller that does not lead. */
public final class FollowerHeartbeats {
    /** A report waits this long at most for a new leader that is about to be known: half of its worker's patience. */
    private static final long NEW_LEADER_MS = 2000;

    private static final long NEW_LEADER_LOOK_MS = 50;

    /** The leader's answer to a passed-on report is waited for so long at most: the worker's patience is 4 s. */
    private static final long PASS_ON_MS = 3000;

    private final Environment environment;
    private final LeaderElection leadership;
    private final LinkHealth links;
    private final BiConsumer<Heartbeat, BiConsumer<Integer, byte[]>> leads;
    private final WorkerRedirects redirects;
    private final LeaderlessLeaseRenewal leaderlessRenewal;
    private final long reportMs;
    private final long leaseMs;
    private final long startedAt;

    /** The last argument answers a report when this node has come to lead meanwhile. */
    public FollowerHeartbeats(
            Settings settings,
            Environment environment,
            LeaderElection leadership,
            LinkHealth links,
            BiConsumer<Heartbeat, BiConsumer<Integer, byte[]>> leads) {
        this.environment = environment;
        this.leadership = leadership;
        this.links = links;
        this.leads = leads;
        this.redirects = new WorkerRedirects(settings, environment, links);
        this.leaderlessRenewal = new LeaderlessLeaseRenewal(environment, leadership, settings.peers());
        this.reportMs = Math.round(settings.workers().heartbeatIntervalS() * 1000);
        this.leaseMs = Math.round(settings.workers().leaseS() * 1000);
        this.startedAt = environment.now();
    }

    /** Sends a worker to the leader, or passes its report on. */
    public void receive(Heartbeat report, byte[] body, BiConsumer<Integer, byte[]> reply) {
        redirectOrWait(report, body, environment.now() + NEW_LEADER_MS, reply);
    }

    /**
     * Found with cuts of links: a worker that came here while the leadership was being handed over was sent to the
     * former leader, which it could not reach, and its lease lapsed meanwhile.
     */
    private void redirectOrWait(Heartbeat report, byte[] body, long until, BiConsumer<Integer, byte[]> reply) {
        Settings.Peer peer = leadership.leaderPeer();
        if (leadership.leading()) {
            leads.accept(report, reply);
        } else if (peer != null && links.leaderHandsOver(peer.name()) && environment.now() < until) {
            environment.schedule(NEW_LEADER_LOOK_MS, () -> redirectOrWait(report, body, until, reply));
        } else {
            redirect(report, body, reply);
        }
    }

    /** Names the leader; a worker that comes back all the same can't reach it, so its report is passed on. */
    private void redirect(Heartbeat report, byte[] body, BiConsumer<Integer, byte[]> reply) {
        Settings.Peer peer = leadership.leaderPeer();
        if (peer == null) {
            sendToHintedLeader(report, reply);
            return;
        }
        if (redirects.sendsAway(report.machine(), peer.name())) {
            reply.accept(421, MessageCodec.encode(WorkerMessages.redirect(peer.name())));
        } else {
            passOn(report, body, peer, reply);
        }
    }

    private void passOn(Heartbeat report, byte[] body, Settings.Peer peer, BiConsumer<Integer, byte[]> reply) {
        if (links.peerUnreachable(peer.name())) {
            withoutLeader(report, reply);
            return;
        }
        environment.sendToPeer(
                peer,
                new PeerMessage.ForwardedRequest(PeerMessage.RequestKind.HEARTBEAT, report.machine(), body),
                Math.min(PASS_ON_MS, reportMs),
                answer -> {
                    if (answer instanceof PeerMessage.Response response) {
                        reply.accept(response.status(), response.body());
                    } else {
                        withoutLeader(report, reply);
                    }
                });
    }

    /** This node can't tell who leads, as it reaches neither the state service nor the leader; others may. */
    private void sendToHintedLeader(Heartbeat report, BiConsumer<Integer, byte[]> reply) {
        String hinted = links.leaderHint(leadership.term());
        if (hinted.isEmpty()) {
            withoutLeader(report, reply);
        } else {
            reply.accept(421, MessageCodec.encode(WorkerMessages.redirect(hinted)));
        }
    }

    /** Nobody to send a worker to: for a short time that is no matter, later its lease has to be kept alive. */
    private void withoutLeader(Heartbeat report, BiConsumer<Integer, byte[]> reply) {
        if (!leadership.leading()
                && environment.now() - Math.max(startedAt, leadership.leaderLastHeardAt()) > leaseMs / 8) {
            leaderlessRenewal.requestRenewal(report, reply);
        } else {
            reply.accept(503, MessageCodec.encode(UserMessages.error("no leader known")));
        }
    }
}
