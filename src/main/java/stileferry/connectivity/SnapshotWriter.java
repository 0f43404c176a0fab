package stileferry.connectivity;

import java.util.ArrayList;
import java.util.List;

/** Writes down all that one controller knows of its links. */
final class SnapshotWriter {
    /** Stands for a share that is not known. */
    private static final double UNKNOWN = -1;

    private SnapshotWriter() {}

    static ConnectivitySnapshot write(ObservedLinks links, LeadershipControl control, long withheld, long staleViews) {
        List<ConnectivitySnapshot.Peer> others = new ArrayList<>();
        for (Peers.Peer peer : links.peers.all()) {
            others.add(new ConnectivitySnapshot.Peer(
                    peer.name,
                    links.describe(peer.inbound),
                    links.describe(peer.outbound),
                    peer.view.ageMs(links.now()),
                    peer.view.reachedCount(),
                    links.leading() ? control.share(peer).orElse(UNKNOWN) : UNKNOWN));
        }
        WorkerLinks workers = links.workers;
        return new ConnectivitySnapshot(
                links.config.self(),
                links.leading(),
                links.describe(links.store),
                others,
                new ConnectivitySnapshot.Workers(
                        workers.count(),
                        workers.directCount(),
                        workers.suspectCount(),
                        links.leading() ? control.ownShare() : UNKNOWN,
                        workers.silenceBoundMs(links.now())),
                control.advise(),
                new ConnectivitySnapshot.Counters(
                        control.handoversBegun(),
                        control.releasedCount(),
                        control.givenUpCount(),
                        workers.suspicions(),
                        withheld,
                        staleViews));
    }
}
