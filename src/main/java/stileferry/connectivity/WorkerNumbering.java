package stileferry.connectivity;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * Assigns the ids and versions of workers in this controller's views. Small ids make small bitmaps; versions determine
 * which changes a receiver lacks.
 */
final class WorkerNumbering {
    /** Ids of removed workers that are tolerated, beyond the number of workers, before all ids are reassigned. */
    private static final int MAX_UNUSED_IDS = 64;

    private final List<WorkerLink> byId = new ArrayList<>();

    /** All workers of the epoch, including removed ones, by the version of their last change. */
    private final TreeMap<Long, WorkerLink> byVersion = new TreeMap<>();

    private int epoch = 1;
    private long lastVersion;

    /** Assigns the next id to a new worker. */
    void add(WorkerLink link) {
        link.id = byId.size();
        byId.add(link);
        markChanged(link);
    }

    /** Assigns the next version to a worker, so that the next views include it. */
    void markChanged(WorkerLink link) {
        byVersion.remove(link.version);
        link.version = ++lastVersion;
        byVersion.put(link.version, link);
    }

    /** Returns whether too many ids belong to removed workers. */
    boolean hasTooManyUnusedIds(int workers) {
        return byId.size() > 2 * workers + MAX_UNUSED_IDS;
    }

    /** Starts a new epoch, in which only these workers have ids. */
    void startEpoch(Collection<WorkerLink> workers) {
        epoch++;
        byId.clear();
        byVersion.clear();
        workers.forEach(this::add);
    }

    /** Returns the number of the current assignment of ids. */
    int epoch() {
        return epoch;
    }

    WorkerLink byId(int id) {
        return byId.get(id);
    }

    /** Returns at most {@code max} workers that changed after a version, by ascending version. */
    List<WorkerLink> changedAfter(long version, int max) {
        List<WorkerLink> changed = new ArrayList<>();
        for (WorkerLink link : byVersion.tailMap(version, false).values()) {
            if (changed.size() >= max) {
                break;
            }
            changed.add(link);
        }
        return changed;
    }
}
