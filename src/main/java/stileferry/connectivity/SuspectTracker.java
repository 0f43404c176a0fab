package stileferry.connectivity;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.roaringbitmap.RoaringBitmap;

/** Groups the workers into suspect and healthy ones, each in an order by which samples rotate through the group. */
final class SuspectTracker {
    private final WorkerNumbering numbering;

    /** Suspect workers, the least recently sampled first. */
    private final Set<WorkerLink> suspects = new LinkedHashSet<>();

    private RoaringBitmap healthyIds = new RoaringBitmap();

    SuspectTracker(WorkerNumbering numbering) {
        this.numbering = numbering;
    }

    /** Moves a worker to the group that its reachability implies. */
    void update(WorkerLink link, long now) {
        boolean healthy = link.reachability.healthy();
        if (healthy && link.suspect()) {
            suspects.remove(link);
            healthyIds.add(link.id);
            link.suspectSince = -1;
            link.removalWithheldSince = -1;
        } else if (!healthy && !link.suspect()) {
            suspects.add(link);
            healthyIds.remove(link.id);
            link.suspectSince = now;
        }
    }

    void remove(WorkerLink link) {
        suspects.remove(link);
        healthyIds.remove(link.id);
    }

    void clear() {
        suspects.clear();
        healthyIds = new RoaringBitmap();
    }

    /** Rebuilds the set of healthy ids after a new epoch has reassigned all ids. */
    void idsReassigned(Collection<WorkerLink> workers) {
        healthyIds = new RoaringBitmap();
        for (WorkerLink link : workers) {
            if (!link.suspect()) {
                healthyIds.add(link.id);
            }
        }
    }

    int suspectCount() {
        return suspects.size();
    }

    /** Returns at most {@code max} suspects, the least recently returned first, and moves them to the end. */
    List<WorkerLink> nextSuspects(int max) {
        List<WorkerLink> next = suspects.stream().limit(max).toList();
        suspects.removeAll(next);
        suspects.addAll(next);
        return next;
    }

    /** Returns at most {@code max} healthy workers with ids above {@code afterId}, by ascending id. */
    List<WorkerLink> nextHealthy(int afterId, int max) {
        List<WorkerLink> next = new ArrayList<>();
        long id = healthyIds.nextValue(afterId + 1);
        while (next.size() < max && id >= 0) {
            next.add(numbering.byId((int) id));
            id = healthyIds.nextValue((int) id + 1);
        }
        return next;
    }
}
