package stileferry.connectivity;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.roaringbitmap.RoaringBitmap;

/** Which workers are suspect and which are healthy, in an order that lets samples rotate through both groups. */
final class SuspectTracker {
    private final WorkerNumbering numbering;

    /** Suspect workers, the least recently sampled first. */
    private final Set<WorkerLink> suspects = new LinkedHashSet<>();

    private RoaringBitmap healthyIds = new RoaringBitmap();

    SuspectTracker(WorkerNumbering numbering) {
        this.numbering = numbering;
    }

    /** Moves the worker to the group that its reachability puts it in. */
    void update(WorkerLink link, long now) {
        boolean working = link.reachability.healthy();
        if (working && link.suspect()) {
            suspects.remove(link);
            healthyIds.add(link.id);
            link.suspectSince = -1;
            link.removalWithheldSince = -1;
        } else if (!working && !link.suspect()) {
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

    /** Takes over the ids of a new epoch. */
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

    /** At most {@code max} suspects, the least recently returned first. */
    List<WorkerLink> nextSuspects(int max) {
        List<WorkerLink> next = suspects.stream().limit(max).toList();
        suspects.removeAll(next);
        suspects.addAll(next);
        return next;
    }

    /** At most {@code max} healthy workers with ids above {@code afterId}, by ascending id. */
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
