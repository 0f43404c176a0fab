package stileferry.connectivity;

import java.util.ArrayList;
import java.util.List;

/** Writes down all that one controller knows of its links. */
final class SnapshotBuilder {
    /** Stands for a share that is not known. */
    private static final double SHARE_UNKNOWN = -1;

    private SnapshotBuilder() {}

    static ConnectivitySnapshot build(ObservedLinks links, LeadershipControl control, long withheld, long staleViews) {
        List<ConnectivitySnapshot.Peer> others = new ArrayList<>();
        for (PeerLink peer : links.peers.all()) {
            others.add(new ConnectivitySnapshot.Peer(
                    peer.name,
                    links.snapshot(peer.inbound),
                    links.snapshot(peer.outbound),
                    peer.view.ageMs(links.now()),
                    peer.view.reachedWorkers(),
                    links.leading() ? control.peerShare(peer).orElse(SHARE_UNKNOWN) : SHARE_UNKNOWN));
        }
        WorkerLinks workers = links.workers;
        return new ConnectivitySnapshot(
                links.config.self(),
                links.leading(),
                links.snapshot(links.store),
                others,
                new ConnectivitySnapshot.Workers(
                        workers.count(),
                        workers.directCount(),
                        workers.suspectCount(),
                        links.leading() ? control.ownShare() : SHARE_UNKNOWN,
                        workers.suspicionTimeoutMs(links.now())),
                control.advise(),
                new ConnectivitySnapshot.Counters(
                        control.handoversBegun(),
                        control.releases(),
                        control.handoversAborted(),
                        workers.suspicions(),
                        withheld,
                        staleViews));
    }
}
