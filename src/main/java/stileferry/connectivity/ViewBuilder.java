package stileferry.connectivity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.roaringbitmap.RoaringBitmap;
import stileferry.connectivity.ReachabilityView.ControllerHealth;
import stileferry.connectivity.ReachabilityView.HandoverNotice;
import stileferry.connectivity.ReachabilityView.Header;
import stileferry.connectivity.ReachabilityView.ProbeTarget;
import stileferry.connectivity.ReachabilityView.WorkerChanges;

/** Builds views that contain only the worker changes since the last version that the receiver has acknowledged. */
final class ViewBuilder {
    /** Maximum number of changed workers in a view; a receiver that knows no workers yet may need several views. */
    static final int MAX_CHANGED_WORKERS = 256;

    private final ConnectivityConfig config;
    private final WorkerLinks workers;
    private final SentViewLog sentViews;

    /** What the header of a view says about its sender. */
    record Sender(long incarnation, long term, String leader) {}

    ViewBuilder(ConnectivityConfig config, WorkerLinks workers, SentViewLog sentViews) {
        this.config = config;
        this.workers = workers;
        this.sentViews = sentViews;
    }

    ReachabilityView build(
            PeerLink receiver,
            Sender sender,
            ControllerHealth health,
            List<ProbeTarget> probes,
            HandoverNotice notice,
            long acceptedHandoverId,
            long now) {
        Header header = new Header(
                config.self(),
                sender.incarnation(),
                sentViews.record(now),
                sender.term(),
                sender.leader(),
                receiver.view.incarnation(),
                receiver.view.sequence(),
                receiver.view.version(),
                receiver.view.epoch());
        return new ReachabilityView(header, health, changesFor(receiver), probes, notice, acceptedHandoverId);
    }

    private WorkerChanges changesFor(PeerLink receiver) {
        int epoch = workers.numbering().epoch();
        long baseVersion = receiver.ackedEpoch == epoch ? receiver.ackedVersion : 0;
        List<WorkerLink> changed = new ArrayList<>(workers.numbering().changedAfter(baseVersion, MAX_CHANGED_WORKERS));
        long version = changed.isEmpty() ? baseVersion : changed.get(changed.size() - 1).version;
        changed.sort(Comparator.comparingInt(link -> link.id));
        return new WorkerChanges(
                epoch,
                baseVersion,
                version,
                changed.stream().map(link -> link.name).toList(),
                idsWhere(changed, link -> true),
                idsWhere(changed, link -> link.removed),
                idsWhere(changed, link -> !link.removed && link.reachability.outboundKnown()),
                idsWhere(changed, link -> !link.removed && link.reachability.inbound()),
                idsWhere(changed, link -> !link.removed && link.reachability.outbound()));
    }

    private static RoaringBitmap idsWhere(List<WorkerLink> links, Predicate<WorkerLink> condition) {
        RoaringBitmap ids = new RoaringBitmap();
        links.stream().filter(condition).forEach(link -> ids.add(link.id));
        return ids;
    }
}
