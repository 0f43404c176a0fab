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
 * Chooses the workers that all controllers probe, as in SWIM's indirect probes: a sample of the suspects and, where
 * these are many, one of the healthy workers. From both samples the share of workers that a controller reaches is
 * estimated, at a cost that does not grow with the fleet.
 */
final class ProbePlanner {
    /** Sampled workers of each group in one round while suspects are many. */
    static final int SAMPLE_SIZE = 8;

    /** Sampled suspects in one round while they are few: most are machines that no longer exist. */
    private static final int FEW_SUSPECTS_SAMPLE_SIZE = 4;

    /** Sampled workers in one round while none is suspect, so that followers know their links. */
    private static final int IDLE_SAMPLE_SIZE = 2;

    /** Suspects are many from this share of all workers on. */
    private static final double MANY_SUSPECTS_SHARE = 1 / 8.0;

    /** Rounds whose samples are used for estimates. */
    private static final int RETAINED_ROUNDS = 4;

    private final ConnectivityConfig config;
    private final ArrayDeque<Round> rounds = new ArrayDeque<>();
    private long lastPlannedAt = -1;
    private int lastHealthyId = -1;

    /** The samples of one round. */
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

    /** Forgets all rounds. */
    void reset() {
        rounds.clear();
        lastPlannedAt = -1;
    }

    /** Whether there are so many suspects that a lost link is likelier than lost machines. */
    static boolean manySuspects(WorkerLinks workers) {
        return workers.suspectCount() >= 2 && workers.suspectCount() >= MANY_SUSPECTS_SHARE * workers.count();
    }

    /**
     * Plans the next round if it is due; the probes of it that the leader itself sends. Heartbeats and commands show
     * enough of healthy workers and of single suspects.
     */
    List<ProbeTarget> nextOwnProbes(WorkerLinks workers, long now) {
        boolean many = manySuspects(workers);
        List<WorkerLink> sample = planRound(workers, now);
        return many ? targets(sample.stream().filter(WorkerLink::suspect).toList()) : List.of();
    }

    /** Plans the next round; empty where it is not due yet. */
    private List<WorkerLink> planRound(WorkerLinks workers, long now) {
        boolean many = manySuspects(workers);
        if (lastPlannedAt >= 0 && now - lastPlannedAt < roundIntervalMs(workers, many)) {
            return List.of();
        }
        lastPlannedAt = now;
        int suspectSampleSize = many ? SAMPLE_SIZE : FEW_SUSPECTS_SAMPLE_SIZE;
        List<WorkerLink> suspects = workers.suspects().nextSuspects(suspectSampleSize);
        List<WorkerLink> healthy = sampleHealthy(workers.suspects(), healthySampleSize(workers, many));
        Round round = new Round(suspects, healthy);
        rounds.addLast(round);
        if (rounds.size() > RETAINED_ROUNDS) {
            rounds.removeFirst();
        }
        return round.all();
    }

    private long roundIntervalMs(WorkerLinks workers, boolean many) {
        return workers.suspectCount() > 0 ? config.exchangeIntervalMs(many) : config.workerLeaseMs() / 2;
    }

    private static int healthySampleSize(WorkerLinks workers, boolean many) {
        if (many) {
            return SAMPLE_SIZE;
        }
        return workers.suspectCount() > 0 ? 0 : IDLE_SAMPLE_SIZE;
    }

    /** The healthy workers whose turn it is, by ascending id and then from the lowest id again. */
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

    /** The probes of the newest round, for the other controllers. */
    List<ProbeTarget> currentTargets() {
        return rounds.isEmpty() ? List.of() : targets(rounds.getLast().all());
    }

    private static List<ProbeTarget> targets(Collection<WorkerLink> links) {
        return links.stream()
                .filter(link -> !link.removed && !link.address.isEmpty())
                .map(link -> new ProbeTarget(link.name, link.address))
                .toList();
    }

    /** Sampled workers that are still suspect. */
    Set<WorkerLink> sampledSuspects() {
        return sampled(Round::suspects, true);
    }

    /** Sampled workers that are still healthy. */
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
