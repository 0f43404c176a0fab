package stileferry.connectivity;

import java.util.Collection;
import java.util.OptionalDouble;
import java.util.function.Predicate;

/** Estimates the share of workers that a controller reaches, from the samples of suspect and healthy workers. */
final class ReachableShareEstimator {
    /**
     * Worker leases for which a worker that responds to probes counts as reached although its heartbeats are relayed.
     */
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

    /**
     * Returns the leader's own share: all healthy workers, and the share of the suspects that responds to the leader's
     * probes.
     */
    double ownShare(long now) {
        double suspectShare = suspectShare();
        OptionalDouble reachedSuspects = reachedShare(
                planner.sampledSuspects(),
                link -> link.probeAnsweredAt >= 0 || link.probeFailedAt >= 0,
                link -> reached(link, now));
        return 1 - suspectShare + suspectShare * reachedSuspects.orElse(0);
    }

    /**
     * Returns whether a worker responded to its last probe, unless its heartbeats have been relayed for so long that it
     * counts as not reached.
     */
    private boolean reached(WorkerLink link, long now) {
        long maxRelayedMs = MAX_RELAYED_WORKER_LEASES * config.workerLeaseMs();
        boolean relayedTooLong = link.relayedSince >= 0 && now - link.relayedSince > maxRelayedMs;
        return !relayedTooLong && link.probeAnsweredAt > link.probeFailedAt;
    }

    /** Returns another controller's share according to its view, or empty if too little is known. */
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

    /**
     * Returns the reached share of a sample's workers with a known outcome. Empty if there are none or, for samples of
     * up to {@link ProbePlanner#SAMPLE_SIZE} workers, if they are less than half; larger samples need half of that
     * number.
     */
    private static OptionalDouble reachedShare(
            Collection<WorkerLink> sample, Predicate<WorkerLink> known, Predicate<WorkerLink> reached) {
        long knownCount = sample.stream().filter(known).count();
        long reachedCount = sample.stream().filter(known.and(reached)).count();
        boolean tooFewKnown = knownCount == 0 || 2 * knownCount < Math.min(sample.size(), ProbePlanner.SAMPLE_SIZE);
        return tooFewKnown ? OptionalDouble.empty() : OptionalDouble.of(reachedCount / (double) knownCount);
    }
}
