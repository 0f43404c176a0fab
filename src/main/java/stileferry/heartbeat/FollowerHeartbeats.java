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

/**
 * Handles workers' heartbeats at a controller that does not lead: redirects the worker to the leader, forwards the
 * heartbeat or, without a leader, has the lease renewed with the consent of the other controllers.
 */
public final class FollowerHeartbeats {
    /** Maximum time for which a heartbeat waits for the new leader of a handover: half of its worker's timeout. */
    private static final long NEW_LEADER_WAIT_MS = 2000;

    private static final long NEW_LEADER_CHECK_MS = 50;

    /** Timeout for the leader's reply to a forwarded heartbeat; the worker's own timeout is 4 s. */
    private static final long FORWARD_TIMEOUT_MS = 3000;

    /**
     * A lease divided by this is the time without a leader for which heartbeats are rejected; after that, leases are
     * renewed without a leader.
     */
    private static final int LEADERLESS_LEASE_DIVISOR = 8;

    private final Environment environment;
    private final LeaderElection leadership;
    private final LinkHealth links;
    private final BiConsumer<Heartbeat, BiConsumer<Integer, byte[]>> leaderHandler;
    private final WorkerRedirects workerRedirects;
    private final LeaderlessLeaseRenewal leaderlessRenewal;
    private final long heartbeatIntervalMs;
    private final long leaseMs;
    private final long startedAt;

    /**
     * Creates the handler of this controller.
     *
     * @param leaderHandler responds to a heartbeat if this controller has become the leader in the meantime
     */
    public FollowerHeartbeats(
            Settings settings,
            Environment environment,
            LeaderElection leadership,
            LinkHealth links,
            BiConsumer<Heartbeat, BiConsumer<Integer, byte[]>> leaderHandler) {
        this.environment = environment;
        this.leadership = leadership;
        this.links = links;
        this.leaderHandler = leaderHandler;
        this.workerRedirects = new WorkerRedirects(settings, environment, links);
        this.leaderlessRenewal = new LeaderlessLeaseRenewal(environment, leadership, settings.peers());
        this.heartbeatIntervalMs = Math.round(settings.workers().heartbeatIntervalS() * 1000);
        this.leaseMs = Math.round(settings.workers().leaseS() * 1000);
        this.startedAt = environment.now();
    }

    /**
     * Handles a heartbeat.
     *
     * @param body the heartbeat as the worker sent it, to be forwarded unchanged
     * @param reply receives the HTTP status and the body of the response
     */
    public void receive(Heartbeat heartbeat, byte[] body, BiConsumer<Integer, byte[]> reply) {
        redirectOrWait(heartbeat, body, environment.now() + NEW_LEADER_WAIT_MS, reply);
    }

    /**
     * Lets a heartbeat wait for the new leader during a handover, as its worker may be unable to reach the former one.
     */
    private void redirectOrWait(Heartbeat heartbeat, byte[] body, long waitUntil, BiConsumer<Integer, byte[]> reply) {
        Settings.Peer leader = leadership.leaderPeer();
        if (leadership.leading()) {
            leaderHandler.accept(heartbeat, reply);
        } else if (leader != null && links.leaderHandsOver(leader.name()) && environment.now() < waitUntil) {
            environment.schedule(NEW_LEADER_CHECK_MS, () -> redirectOrWait(heartbeat, body, waitUntil, reply));
        } else {
            redirect(heartbeat, body, reply);
        }
    }

    /** Redirects the worker to the leader, or forwards the heartbeat if the worker can't reach the leader. */
    private void redirect(Heartbeat heartbeat, byte[] body, BiConsumer<Integer, byte[]> reply) {
        Settings.Peer leader = leadership.leaderPeer();
        if (leader == null) {
            redirectToHintedLeader(heartbeat, reply);
            return;
        }
        if (workerRedirects.shouldRedirect(heartbeat.machine(), leader.name())) {
            reply.accept(421, MessageCodec.encode(WorkerMessages.redirect(leader.name())));
        } else {
            forward(heartbeat, body, leader, reply);
        }
    }

    private void forward(Heartbeat heartbeat, byte[] body, Settings.Peer leader, BiConsumer<Integer, byte[]> reply) {
        if (links.peerUnreachable(leader.name())) {
            answerWithoutLeader(heartbeat, reply);
            return;
        }
        environment.sendToPeer(
                leader,
                new PeerMessage.ForwardedRequest(PeerMessage.RequestKind.HEARTBEAT, heartbeat.machine(), body),
                Math.min(FORWARD_TIMEOUT_MS, heartbeatIntervalMs),
                answer -> {
                    if (answer instanceof PeerMessage.Response response) {
                        reply.accept(response.status(), response.body());
                    } else {
                        answerWithoutLeader(heartbeat, reply);
                    }
                });
    }

    /**
     * Redirects to the leader that another controller has named, if any, when this one reaches neither the store nor
     * the leader.
     */
    private void redirectToHintedLeader(Heartbeat heartbeat, BiConsumer<Integer, byte[]> reply) {
        String hinted = links.leaderHint(leadership.term());
        if (hinted.isEmpty()) {
            answerWithoutLeader(heartbeat, reply);
        } else {
            reply.accept(421, MessageCodec.encode(WorkerMessages.redirect(hinted)));
        }
    }

    /**
     * Responds when no leader is known or reachable; after a short time the worker's lease has to be renewed without
     * one.
     */
    private void answerWithoutLeader(Heartbeat heartbeat, BiConsumer<Integer, byte[]> reply) {
        long leaderLastKnownAt = Math.max(startedAt, leadership.leaderLastHeardAt());
        if (!leadership.leading() && environment.now() - leaderLastKnownAt > leaseMs / LEADERLESS_LEASE_DIVISOR) {
            leaderlessRenewal.requestRenewal(heartbeat, reply);
        } else {
            reply.accept(503, MessageCodec.encode(UserMessages.error("no leader known")));
        }
    }
}
