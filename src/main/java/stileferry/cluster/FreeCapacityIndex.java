package stileferry.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * An index of machines by free CPUs, so that a search visits only machines with enough of them. It contains every
 * machine that was heard from in this term, whose type is known and that is not terminating. Searches have to check all
 * other conditions.
 */
public final class FreeCapacityIndex {
    private static final int NOT_INDEXED = -1;

    /** Bucket n contains the machines with at least n and less than n + 1 free CPUs. */
    private final List<Set<Machine>> buckets = new ArrayList<>();

    private long machinesVisited;

    /** Updates a machine's place in the index; has to be called when its assignments, type or state have changed. */
    public void update(Machine machine) {
        int bucket = isEligible(machine) ? bucketOf(machine.freeCpus()) : NOT_INDEXED;
        if (bucket == machine.capacityBucket()) {
            return;
        }
        remove(machine);
        if (bucket != NOT_INDEXED) {
            while (buckets.size() <= bucket) {
                buckets.add(new TreeSet<>());
            }
            buckets.get(bucket).add(machine);
            machine.setCapacityBucket(bucket);
        }
    }

    private static boolean isEligible(Machine machine) {
        return machine.agent().heardThisTerm()
                && machine.type() != null
                && !machine.instance().terminating();
    }

    /** Removes a machine from the index; does nothing if it is not in it. */
    void remove(Machine machine) {
        if (machine.capacityBucket() != NOT_INDEXED) {
            buckets.get(machine.capacityBucket()).remove(machine);
            machine.setCapacityBucket(NOT_INDEXED);
        }
    }

    private static int bucketOf(double freeCpus) {
        return Math.max(0, (int) Math.floor(freeCpus + Resources.ROUNDING_TOLERANCE));
    }

    /**
     * Visits every machine that may have at least this many free CPUs, bucket by bucket, starting with the fewest free
     * CPUs. The first bucket may also contain machines with fewer free CPUs than requested.
     */
    public void visitWithFreeCpus(double cpus, Consumer<Machine> visitor) {
        for (int bucket = bucketOf(cpus); bucket < buckets.size(); bucket++) {
            Set<Machine> machines = buckets.get(bucket);
            machinesVisited += machines.size();
            machines.forEach(visitor);
        }
    }

    /** Returns the total number of machines visited by all searches so far, as a measure of their cost. */
    public long machinesVisited() {
        return machinesVisited;
    }
}
