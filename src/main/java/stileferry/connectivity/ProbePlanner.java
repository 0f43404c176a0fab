package stileferry.connectivity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import stileferry.connectivity.ReachabilityView.ProbeTarget;

/**
 * Chooses workers of which all controllers shall find out whether they reach them: some of those that are suspect, and,
 * where these are many, some of the others. So the share of workers that a controller reaches is estimated from samples
 * of bounded size, one of each group.
 */
final class ProbePlanner {
    /** Single suspects that are asked in one round: most are machines that are gone, not worth many questions. */
    private static final int FEW_SUSPECTS_SAMPLE = 4;

    /** Workers of each group that are asked in one round. */
    static final int SAMPLE_SIZE = 8;

    /** Workers that are asked now and then while nothing is suspect, so that followers know their links. */
    private static final int IDLE_SAMPLE_SIZE = 2;

    /** Of all workers, the share from which on suspect ones are many. */
    private static final double MANY_SUSPECTS_SHARE = 1 / 8.0;

    /** Rounds whose samples are looked at. */
    private static final int KEPT_ROUNDS = 4;

    private final ConnectivityConfig config;
    private final ArrayDeque<Round> rounds = new ArrayDeque<>();
    private long plannedAt = -1;
    private int lastHealthyId = -1;

    /** The workers of one round, by name. */
    private record Round(List<WorkerLink> suspects, List<WorkerLink> healthy) {}

    ProbePlanner(ConnectivityConfig config) {
        this.config = config;
    }

    /** Begins anew. */
    void reset() {
        rounds.clear();
        plannedAt = -1;
    }

    /** Whether so many suspects are no matter of single workers. */
    static boolean manySuspects(WorkerLinks links) {
        return links.suspectCount() >= 2 && links.suspectCount() >= MANY_SUSPECTS_SHARE * links.count();
    }

    /** Plans the next round if it is time; the workers to be asked in it. */
    List<WorkerLink> planRound(WorkerLinks links, long now) {
        boolean suspects = links.suspectCount() > 0;
        boolean many = manySuspects(links);
        long every = suspects ? config.exchangeIntervalMs(many) : config.workerLeaseMs() / 2;
        if (plannedAt >= 0 && now - plannedAt < every) {
            return List.of();
        }
        plannedAt = now;
        List<WorkerLink> suspectSample = links.suspects().nextSuspects(many ? SAMPLE_SIZE : FEW_SUSPECTS_SAMPLE);
        int soundWanted = many ? SAMPLE_SIZE : suspects ? 0 : IDLE_SAMPLE_SIZE;
        List<WorkerLink> soundSample = new ArrayList<>(links.suspects().nextHealthy(lastHealthyId, soundWanted));
        if (soundSample.size() < soundWanted) {
            soundSample.addAll(links.suspects().nextHealthy(-1, soundWanted - soundSample.size()));
        }
        if (!soundSample.isEmpty()) {
            lastHealthyId = soundSample.get(soundSample.size() - 1).id;
        }
        rounds.addLast(new Round(suspectSample, soundSample));
        if (rounds.size() > KEPT_ROUNDS) {
            rounds.removeFirst();
        }
        Set<WorkerLink> all = new LinkedHashSet<>(suspectSample);
        all.addAll(soundSample);
        return List.copyOf(all);
    }

    /** The targets of the newest round. */
    List<ProbeTarget> currentTargets() {
        if (rounds.isEmpty()) {
            return List.of();
        }
        Round round = rounds.getLast();
        Set<WorkerLink> all = new LinkedHashSet<>(round.suspects);
        all.addAll(round.healthy);
        return targets(all);
    }

    /**
     * Plans the next round if it is due; the probes of it that the leader itself sends. Heartbeats and commands show
     * enough of healthy workers and of single suspects.
     */
    List<ProbeTarget> ownProbes(WorkerLinks workers, long now) {
        boolean many = manySuspects(workers);
        List<WorkerLink> sample = planRound(workers, now);
        return many ? targets(sample.stream().filter(WorkerLink::suspect).toList()) : List.of();
    }

    private static List<ProbeTarget> targets(Collection<WorkerLink> links) {
        List<ProbeTarget> targets = new ArrayList<>();
        for (WorkerLink link : links) {
            if (!link.removed && !link.address.isEmpty()) {
                targets.add(new ProbeTarget(link.name, link.address));
            }
        }
        return targets;
    }

    /** Sampled workers that are suspect. */
    Set<WorkerLink> sampledSuspects() {
        Set<WorkerLink> sampled = new LinkedHashSet<>();
        rounds.forEach(round -> sampled.addAll(round.suspects));
        sampled.removeIf(link -> link.removed || !link.suspect());
        return sampled;
    }

    /** Sampled workers that are not suspect. */
    Set<WorkerLink> sampledHealthy() {
        Set<WorkerLink> sampled = new LinkedHashSet<>();
        rounds.forEach(round -> sampled.addAll(round.healthy));
        sampled.removeIf(link -> link.removed || link.suspect());
        return sampled;
    }
}
