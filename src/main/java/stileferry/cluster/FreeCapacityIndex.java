package stileferry.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Machines by their free CPUs, so that a search visits only those with enough. It holds every machine that was heard
 * from, whose type is known and that is not terminating; whoever searches checks everything else.
 */
public final class FreeCapacityIndex {
    private static final int NOT_INDEXED = -1;

    /** In slot n the machines with n to less than n + 1 CPUs free. */
    private final List<Set<Machine>> buckets = new ArrayList<>();

    private long machinesVisited;

    /** Takes in that a machine's assignments, type or state have changed. */
    public void update(Machine machine) {
        int slot = isEligible(machine) ? bucketOf(machine.freeCpus()) : NOT_INDEXED;
        if (slot == machine.capacityBucket()) {
            return;
        }
        remove(machine);
        if (slot != NOT_INDEXED) {
            while (buckets.size() <= slot) {
                buckets.add(new TreeSet<>());
            }
            buckets.get(slot).add(machine);
            machine.setCapacityBucket(slot);
        }
    }

    private static boolean isEligible(Machine machine) {
        return machine.agent().heardThisTerm()
                && machine.type() != null
                && !machine.instance().terminating();
    }

    /** Forgets a machine. */
    void remove(Machine machine) {
        if (machine.capacityBucket() != NOT_INDEXED) {
            buckets.get(machine.capacityBucket()).remove(machine);
            machine.setCapacityBucket(NOT_INDEXED);
        }
    }

    private static int bucketOf(double freeCpus) {
        return Math.max(0, (int) Math.floor(freeCpus + Resources.ROUNDING_TOLERANCE));
    }

    /** Visits every machine that may have so many CPUs free, those with the fewest free CPUs first. */
    public void visitWithFreeCpus(double cpus, Consumer<Machine> visitor) {
        for (int slot = bucketOf(cpus); slot < buckets.size(); slot++) {
            Set<Machine> machines = buckets.get(slot);
            machinesVisited += machines.size();
            machines.forEach(visitor);
        }
    }

    /** The number of visits since the start, the measure of the searches' work. */
    public long machinesVisited() {
        return machinesVisited;
    }
}
