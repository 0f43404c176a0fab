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
import stileferry.protocol.Settings;
import stileferry.protocol.UserMessages;
import stileferry.protocol.WorkerMessages;

/**
 * Keeps workers' leases alive while nobody can lead, as when the state service is down and the leader has crashed.
 *
 * <p>A report may be answered with the worker's own token, and without commands but stops of cancelled jobs' tasks,
 * once every other controller has said, after the report arrived, that it does not lead, and enough of them are
 * informed to know every cancellation together ({@link CancellationQuorum}). A leader of that token is then gone for
 * good,
 * since nobody resumes a term and later terms are higher; so nobody counts on that lease lapsing. A later leader
 * counts a lapse only from when the worker accepted its term, or every controller acknowledged it.
 */
public final class LeaderlessLeaseRenewal {
    private static final Logger LOG = LoggerFactory.getLogger("renewal");
    private static final long ANSWER_MS = 800;

    private final Environment environment;
    private final LeaderElection leadership;
    private final List<Settings.Peer> peers;
    private List<Waiting> waiting = new ArrayList<>();
    private boolean asking;
    private boolean active;

    private record Waiting(Heartbeat report, BiConsumer<Integer, byte[]> reply) {}

    public LeaderlessLeaseRenewal(Environment environment, LeaderElection leadership, List<Settings.Peer> peers) {
        this.environment = environment;
        this.leadership = leadership;
        this.peers = peers;
    }

    /** Takes a report that no leader can be found for. */
    public void requestRenewal(Heartbeat report, BiConsumer<Integer, byte[]> reply) {
        waiting.add(new Waiting(report, reply));
        ask();
    }

    private void ask() {
        if (asking || waiting.isEmpty()) {
            return;
        }
        asking = true;
        List<Waiting> batch = waiting;
        waiting = new ArrayList<>();
        int[] open = {peers.size()};
        boolean[] alone = {true};
        int[] informed = {0};
        leadership.consent();
        for (int i = 0; i < peers.size(); i++) {
            environment.sendToPeer(peers.get(i), leadership.words(i), ANSWER_MS, record -> {
                if (record instanceof PeerMessage.TermAnnouncement announcement) {
                    leadership.observeTerm(announcement);
                    leadership.cancellations().heard(announcement, false);
                    alone[0] &= !announcement.leading();
                    informed[0] += announcement.knowledge() != null
                                    && announcement.knowledge().informed()
                            ? 1
                            : 0;
                } else {
                    alone[0] = false; // silence does not say that it doesn't lead
                }
                if (--open[0] == 0) {
                    answer(batch, alone[0] && entitled(informed[0]));
                }
            });
        }
        if (peers.isEmpty()) {
            answer(batch, entitled(0));
        }
    }

    /** Nobody here leads either, and together the processes know every cancellation. */
    private boolean entitled(int informedPeers) {
        int informed = informedPeers + (leadership.cancellations().informed() ? 1 : 0);
        return !leadership.leading() && informed >= CancellationQuorum.enough(peers.size() + 1);
    }

    private void answer(List<Waiting> batch, boolean entitled) {
        asking = false;
        if (entitled != active) {
            active = entitled;
            LOG.info(
                    entitled
                            ? "no controller leads and all cancellations are known: keeping workers' leases alive"
                            : "no longer keeping workers' leases alive");
        }
        for (Waiting waiting : batch) {
            if (entitled) {
                waiting.reply.accept(
                        200,
                        MessageCodec.encode(WorkerMessages.heartbeatResponse(
                                waiting.report.fencingToken(),
                                leadership.cancellations().killCommandsFor(waiting.report))));
            } else {
                waiting.reply.accept(503, MessageCodec.encode(UserMessages.error("no leader known")));
            }
        }
        ask();
    }
}
