package stileferry.connectivity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.roaringbitmap.RoaringBitmap;
import stileferry.connectivity.ReachabilityView.ControllerHealth;
import stileferry.connectivity.ReachabilityView.HandoverNotice;
import stileferry.connectivity.ReachabilityView.Header;
import stileferry.connectivity.ReachabilityView.ProbeTarget;
import stileferry.connectivity.ReachabilityView.WorkerChanges;

/** Writes views for other controllers: only what changed after the last change that the receiver has confirmed. */
final class ViewBuilder {
    /** Workers in one view: a fleet that is new to the receiver takes several. */
    static final int MAX_WORKERS = 256;

    private final ConnectivityConfig config;
    private final WorkerLinks workers;
    private final SentViewLog sentViews;

    /** Who writes. */
    record Self(long incarnation, long term, String leader) {}

    ViewBuilder(ConnectivityConfig config, WorkerLinks workers, SentViewLog sent) {
        this.config = config;
        this.workers = workers;
        this.sentViews = sent;
    }

    ReachabilityView build(
            PeerLink to,
            Self self,
            ControllerHealth standing,
            List<ProbeTarget> probes,
            HandoverNotice notice,
            long acceptedHandover,
            long now) {
        Header header = new Header(
                config.self(),
                self.incarnation(),
                sentViews.record(now),
                self.term(),
                self.leader(),
                to.view.incarnation(),
                to.view.sequence(),
                to.view.version(),
                to.view.epoch());
        return new ReachabilityView(header, standing, changes(to), probes, notice, acceptedHandover);
    }

    private WorkerChanges changes(PeerLink to) {
        long base = to.ackedEpoch == workers.numbering().epoch() ? to.ackedVersion : 0;
        List<WorkerLink> changed = new ArrayList<>(workers.numbering().changedAfter(base, MAX_WORKERS));
        long upTo = changed.isEmpty() ? base : changed.get(changed.size() - 1).version;
        changed.sort(Comparator.comparingInt(link -> link.id));
        List<String> names = new ArrayList<>(changed.size());
        RoaringBitmap numbers = new RoaringBitmap();
        RoaringBitmap departed = new RoaringBitmap();
        RoaringBitmap examined = new RoaringBitmap();
        RoaringBitmap inbound = new RoaringBitmap();
        RoaringBitmap outbound = new RoaringBitmap();
        for (WorkerLink link : changed) {
            names.add(link.name);
            numbers.add(link.id);
            add(departed, link, link.removed);
            add(examined, link, link.reachability.outboundKnown() && !link.removed);
            add(inbound, link, link.reachability.inbound() && !link.removed);
            add(outbound, link, link.reachability.outbound() && !link.removed);
        }
        return new WorkerChanges(
                workers.numbering().epoch(), base, upTo, names, numbers, departed, examined, inbound, outbound);
    }

    private static void add(RoaringBitmap set, WorkerLink link, boolean holds) {
        if (holds) {
            set.add(link.id);
        }
    }
}
