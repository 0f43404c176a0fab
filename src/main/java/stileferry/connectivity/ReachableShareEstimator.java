package stileferry.connectivity;

import java.util.Collection;
import java.util.OptionalDouble;
import java.util.function.Predicate;

/** Estimates the shares of workers that controllers reach, from the samples that were asked for. */
final class ReachableShareEstimator {
    /** Leases for which a worker that reports by way of others but answers questions counts as reached. */
    private static final int MAX_RELAYED_LEASES = 3;

    private final ConnectivityConfig config;
    private final WorkerLinks links;
    private final ProbePlanner planner;

    ReachableShareEstimator(ConnectivityConfig config, WorkerLinks links, ProbePlanner planner) {
        this.config = config;
        this.links = links;
        this.planner = planner;
    }

    private double suspectShare() {
        return links.count() == 0 ? 0 : links.suspectCount() / (double) links.count();
    }

    /** The leader's own share: all that is not suspect, and of the rest as much as answers its questions. */
    double ownShare(long now) {
        double suspects = suspectShare();
        OptionalDouble answering = share(
                planner.sampledSuspects(),
                link -> link.probeAnsweredAt >= 0 || link.probeFailedAt >= 0,
                link -> answers(link, now));
        return 1 - suspects + suspects * answering.orElse(0);
    }

    /** Who has left for another controller and does not come back has a reason, whatever it answers. */
    private boolean answers(WorkerLink link, long now) {
        boolean stays = link.relayedSince < 0 || now - link.relayedSince <= MAX_RELAYED_LEASES * config.workerLeaseMs();
        return stays && link.probeAnsweredAt > link.probeFailedAt;
    }

    /** Another controller's share; empty: it has said too little. */
    OptionalDouble peerShare(PeerView peer) {
        double suspects = suspectShare();
        OptionalDouble ofSuspects =
                share(planner.sampledSuspects(), l -> peer.outboundKnown(l.name), l -> peer.reaches(l.name));
        OptionalDouble ofSound =
                share(planner.sampledHealthy(), l -> peer.outboundKnown(l.name), l -> peer.reaches(l.name));
        if (suspects > 0 && ofSuspects.isEmpty() || suspects < 1 && ofSound.isEmpty()) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(Math.min(1, suspects * ofSuspects.orElse(0) + (1 - suspects) * ofSound.orElse(0)));
    }

    /** The share of a sample that is reached; empty where half of the sample is not known. */
    private static OptionalDouble share(
            Collection<WorkerLink> sample, Predicate<WorkerLink> known, Predicate<WorkerLink> reached) {
        int knownCount = 0;
        int reachedCount = 0;
        for (WorkerLink link : sample) {
            if (known.test(link)) {
                knownCount++;
                reachedCount += reached.test(link) ? 1 : 0;
            }
        }
        return knownCount == 0 || 2 * knownCount < Math.min(sample.size(), ProbePlanner.SAMPLE_SIZE)
                ? OptionalDouble.empty()
                : OptionalDouble.of(reachedCount / (double) knownCount);
    }
}
