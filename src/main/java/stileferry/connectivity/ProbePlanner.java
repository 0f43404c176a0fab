package stileferry.connectivity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import stileferry.connectivity.ReachabilityView.ProbeTarget;

/**
 * Selects the workers that all controllers probe in a round, similar to the indirect probes of SWIM: a sample of the
 * suspect workers and, if there are many of them or none, a sample of the healthy workers. Both samples serve to
 * estimate the share of workers that a controller reaches, at a cost that does not grow with the number of workers.
 */
final class ProbePlanner {
    /** Sampled workers of each group per round while there are many suspects. */
    static final int SAMPLE_SIZE = 8;

    /** Sampled suspects per round while there are few; most of these are machines that no longer exist. */
    private static final int FEW_SUSPECTS_SAMPLE_SIZE = 4;

    /**
     * Sampled healthy workers per round while there are no suspects, so that followers know the state of their links.
     */
    private static final int IDLE_SAMPLE_SIZE = 2;

    /** Share of all workers at and above which there are many suspects. */
    private static final double MANY_SUSPECTS_SHARE = 1 / 8.0;

    /** Number of latest rounds whose samples are used for estimates. */
    private static final int RETAINED_ROUNDS = 4;

    private final ConnectivityConfig config;
    private final ArrayDeque<Round> rounds = new ArrayDeque<>();
    private long lastPlannedAt = -1;
    private int lastHealthyId = -1;

    /** The samples of one round; the suspects come first. */
    private record Round(List<WorkerLink> suspects, List<WorkerLink> healthy) {
        List<WorkerLink> all() {
            Set<WorkerLink> all = new LinkedHashSet<>(suspects);
            all.addAll(healthy);
            return List.copyOf(all);
        }
    }

    ProbePlanner(ConnectivityConfig config) {
        this.config = config;
    }

    /** Forgets all rounds, so that the next one is due at once. */
    void reset() {
        rounds.clear();
        lastPlannedAt = -1;
    }

    /** Returns whether there are so many suspects that a failed link is more likely than lost machines. */
    static boolean manySuspects(WorkerLinks workers) {
        return workers.suspectCount() >= 2 && workers.suspectCount() >= MANY_SUSPECTS_SHARE * workers.count();
    }

    /**
     * Plans the next round if it is due, and returns those of its probes that the leader itself sends: the suspects if
     * there are many, otherwise none. Heartbeats and commands tell enough about healthy workers and about a few
     * suspects.
     */
    List<ProbeTarget> nextOwnProbes(WorkerLinks workers, long now) {
        boolean manySuspects = manySuspects(workers);
        List<WorkerLink> sample = planRound(workers, now);
        return manySuspects
                ? targets(sample.stream().filter(WorkerLink::suspect).toList())
                : List.of();
    }

    /** Plans the next round and returns its sample, or an empty list if the round is not due yet. */
    private List<WorkerLink> planRound(WorkerLinks workers, long now) {
        boolean manySuspects = manySuspects(workers);
        if (lastPlannedAt >= 0 && now - lastPlannedAt < roundIntervalMs(workers, manySuspects)) {
            return List.of();
        }
        lastPlannedAt = now;
        int suspectSampleSize = manySuspects ? SAMPLE_SIZE : FEW_SUSPECTS_SAMPLE_SIZE;
        List<WorkerLink> suspects = workers.suspects().nextSuspects(suspectSampleSize);
        List<WorkerLink> healthy = sampleHealthy(workers.suspects(), healthySampleSize(workers, manySuspects));
        Round round = new Round(suspects, healthy);
        rounds.addLast(round);
        if (rounds.size() > RETAINED_ROUNDS) {
            rounds.removeFirst();
        }
        return round.all();
    }

    private long roundIntervalMs(WorkerLinks workers, boolean manySuspects) {
        return workers.suspectCount() > 0 ? config.exchangeIntervalMs(manySuspects) : config.workerLeaseMs() / 2;
    }

    private static int healthySampleSize(WorkerLinks workers, boolean manySuspects) {
        if (manySuspects) {
            return SAMPLE_SIZE;
        }
        return workers.suspectCount() > 0 ? 0 : IDLE_SAMPLE_SIZE;
    }

    /** Returns the next healthy workers in round-robin order of their ids. */
    private List<WorkerLink> sampleHealthy(SuspectTracker workers, int size) {
        List<WorkerLink> sample = new ArrayList<>(workers.nextHealthy(lastHealthyId, size));
        if (sample.size() < size) {
            sample.addAll(workers.nextHealthy(-1, size - sample.size()));
        }
        if (!sample.isEmpty()) {
            lastHealthyId = sample.get(sample.size() - 1).id;
        }
        return sample;
    }

    /** Returns the probes of the latest round, for the other controllers. */
    List<ProbeTarget> currentTargets() {
        return rounds.isEmpty() ? List.of() : targets(rounds.getLast().all());
    }

    private static List<ProbeTarget> targets(Collection<WorkerLink> links) {
        return links.stream()
                .filter(link -> !link.removed && !link.address.isEmpty())
                .map(link -> new ProbeTarget(link.name, link.address))
                .toList();
    }

    /** Returns the workers that were sampled as suspects and still are suspect. */
    Set<WorkerLink> sampledSuspects() {
        return sampled(Round::suspects, true);
    }

    /** Returns the workers that were sampled as healthy and still are healthy. */
    Set<WorkerLink> sampledHealthy() {
        return sampled(Round::healthy, false);
    }

    private Set<WorkerLink> sampled(Function<Round, List<WorkerLink>> group, boolean suspect) {
        Set<WorkerLink> sampled = new LinkedHashSet<>();
        rounds.forEach(round -> sampled.addAll(group.apply(round)));
        sampled.removeIf(link -> link.removed || link.suspect() != suspect);
        return sampled;
    }
}
