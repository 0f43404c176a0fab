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
    private static final int NOT_HELD = -1;

    /** In slot n the machines with n to less than n + 1 CPUs free. */
    private final List<Set<Machine>> slots = new ArrayList<>();

    private long machinesVisited;

    /** Takes in that a machine's assignments, type or state have changed. */
    public void update(Machine machine) {
        int slot = holds(machine) ? slot(machine.freeCpus()) : NOT_HELD;
        if (slot == machine.capacitySlot()) {
            return;
        }
        remove(machine);
        if (slot != NOT_HELD) {
            while (slots.size() <= slot) {
                slots.add(new TreeSet<>());
            }
            slots.get(slot).add(machine);
            machine.setCapacitySlot(slot);
        }
    }

    private static boolean holds(Machine machine) {
        return machine.agent().heardThisTerm()
                && machine.type() != null
                && !machine.instance().terminating();
    }

    /** Forgets a machine. */
    void remove(Machine machine) {
        if (machine.capacitySlot() != NOT_HELD) {
            slots.get(machine.capacitySlot()).remove(machine);
            machine.setCapacitySlot(NOT_HELD);
        }
    }

    private static int slot(double freeCpus) {
        return Math.max(0, (int) Math.floor(freeCpus + Resources.ROUNDING));
    }

    /** Visits every machine that may have so many CPUs free, those with the fewest free CPUs first. */
    public void visitWithAtLeast(double cpus, Consumer<Machine> visitor) {
        for (int slot = slot(cpus); slot < slots.size(); slot++) {
            Set<Machine> machines = slots.get(slot);
            machinesVisited += machines.size();
            machines.forEach(visitor);
        }
    }

    /** The number of visits since the start, the measure of the searches' work. */
    public long machinesVisited() {
        return machinesVisited;
    }
}
