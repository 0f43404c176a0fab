package stileferry.connectivity;

import java.util.ArrayList;
import java.util.List;

/** Builds the snapshot of one controller's links for operators. */
final class SnapshotBuilder {
    /** Stands for a share that is not known. */
    private static final double SHARE_UNKNOWN = -1;

    private SnapshotBuilder() {}

    static ConnectivitySnapshot build(
            ObservedLinks links, LeadershipControl leadership, long withheld, long staleViews) {
        List<ConnectivitySnapshot.Peer> peers = new ArrayList<>();
        for (PeerLink peer : links.peers.all()) {
            peers.add(new ConnectivitySnapshot.Peer(
                    peer.name,
                    links.snapshot(peer.inbound),
                    links.snapshot(peer.outbound),
                    peer.view.ageMs(links.now()),
                    peer.view.reachedWorkers(),
                    links.leading() ? leadership.peerShare(peer).orElse(SHARE_UNKNOWN) : SHARE_UNKNOWN));
        }
        WorkerLinks workers = links.workers;
        return new ConnectivitySnapshot(
                links.config.self(),
                links.leading(),
                links.snapshot(links.store),
                peers,
                new ConnectivitySnapshot.Workers(
                        workers.count(),
                        workers.directCount(),
                        workers.suspectCount(),
                        links.leading() ? leadership.ownShare() : SHARE_UNKNOWN,
                        workers.suspicionTimeoutMs(links.now())),
                leadership.advise(),
                new ConnectivitySnapshot.Counters(
                        leadership.handoversBegun(),
                        leadership.releases(),
                        leadership.handoversAborted(),
                        workers.suspicions(),
                        withheld,
                        staleViews));
    }
}
