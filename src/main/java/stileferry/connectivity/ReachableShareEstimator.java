package stileferry.connectivity;

import java.util.Collection;
import java.util.OptionalDouble;
import java.util.function.Predicate;

/** Estimates the share of workers that a controller reaches from the probed samples of suspect and healthy workers. */
final class ReachableShareEstimator {
    /** Worker leases for which a worker whose heartbeats are relayed still counts as reached if it answers probes. */
    private static final int MAX_RELAYED_WORKER_LEASES = 3;

    private final ConnectivityConfig config;
    private final WorkerLinks workers;
    private final ProbePlanner planner;

    ReachableShareEstimator(ConnectivityConfig config, WorkerLinks workers, ProbePlanner planner) {
        this.config = config;
        this.workers = workers;
        this.planner = planner;
    }

    private double suspectShare() {
        return workers.count() == 0 ? 0 : workers.suspectCount() / (double) workers.count();
    }

    /** The leader's own share: all healthy workers, and as many of the suspects as answer its probes. */
    double ownShare(long now) {
        double suspectShare = suspectShare();
        OptionalDouble reachedSuspects = reachedShare(
                planner.sampledSuspects(),
                link -> link.probeAnsweredAt >= 0 || link.probeFailedAt >= 0,
                link -> reached(link, now));
        return 1 - suspectShare + suspectShare * reachedSuspects.orElse(0);
    }

    /** A worker whose heartbeats are relayed for long counts as not reached, even if it answers probes. */
    private boolean reached(WorkerLink link, long now) {
        long maxRelayedMs = MAX_RELAYED_WORKER_LEASES * config.workerLeaseMs();
        boolean relayedForLong = link.relayedSince >= 0 && now - link.relayedSince > maxRelayedMs;
        return !relayedForLong && link.probeAnsweredAt > link.probeFailedAt;
    }

    /** Another controller's share, by its view; empty: too little is known. */
    OptionalDouble peerShare(PeerView view) {
        double suspectShare = suspectShare();
        OptionalDouble reachedSuspects = reachedShare(planner.sampledSuspects(), view);
        OptionalDouble reachedHealthy = reachedShare(planner.sampledHealthy(), view);
        boolean unknown = suspectShare > 0 && reachedSuspects.isEmpty() || suspectShare < 1 && reachedHealthy.isEmpty();
        if (unknown) {
            return OptionalDouble.empty();
        }
        double share = suspectShare * reachedSuspects.orElse(0) + (1 - suspectShare) * reachedHealthy.orElse(0);
        return OptionalDouble.of(Math.min(1, share));
    }

    private static OptionalDouble reachedShare(Collection<WorkerLink> sample, PeerView view) {
        return reachedShare(sample, link -> view.outboundKnown(link.name), link -> view.reaches(link.name));
    }

    /** The reached share of a sample; empty where less than half of the sample is known. */
    private static OptionalDouble reachedShare(
            Collection<WorkerLink> sample, Predicate<WorkerLink> known, Predicate<WorkerLink> reached) {
        long knownCount = sample.stream().filter(known).count();
        long reachedCount = sample.stream().filter(known.and(reached)).count();
        boolean tooFewKnown = knownCount == 0 || 2 * knownCount < Math.min(sample.size(), ProbePlanner.SAMPLE_SIZE);
        return tooFewKnown ? OptionalDouble.empty() : OptionalDouble.of(reachedCount / (double) knownCount);
    }
}
