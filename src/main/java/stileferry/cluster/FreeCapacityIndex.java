package stileferry.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Machines by the CPUs that are free on them, so that a search looks only at machines with room. It holds every
 * machine that was heard and whose type is known; whoever searches checks everything else.
 */
public final class FreeCapacityIndex {
    private static final double EPSILON = 1e-6;

    /** Machines with at least so many whole CPUs free, and less than one more. */
    private final List<Set<Machine>> byFree = new ArrayList<>();

    private long machinesVisited;

    /** Takes in that a machine's claims, type or standing have changed. */
    public void update(Machine machine) {
        int slot = machine.agent().heardThisTerm()
                        && machine.type() != null
                        && !machine.instance().terminating()
                ? slot(machine.type().cpus() - machine.usedCpus())
                : -1;
        if (slot == machine.capacitySlot()) {
            return;
        }
        remove(machine);
        if (slot >= 0) {
            while (byFree.size() <= slot) {
                byFree.add(new TreeSet<>());
            }
            byFree.get(slot).add(machine);
            machine.setCapacitySlot(slot);
        }
    }

    /** Forgets a machine. */
    void remove(Machine machine) {
        if (machine.capacitySlot() >= 0) {
            byFree.get(machine.capacitySlot()).remove(machine);
            machine.setCapacitySlot(-1);
        }
    }

    private static int slot(double free) {
        return Math.max(0, (int) Math.floor(free + EPSILON));
    }

    /** Shows every machine that may have so many CPUs free, the fullest first. */
    public void visitWithAtLeast(double cpus, Consumer<Machine> look) {
        for (int slot = slot(cpus); slot < byFree.size(); slot++) {
            Set<Machine> set = byFree.get(slot);
            machinesVisited += set.size();
            set.forEach(look);
        }
    }

    /** Machines shown since the start, the measure of a search's work. */
    public long machinesVisited() {
        return machinesVisited;
    }
}
