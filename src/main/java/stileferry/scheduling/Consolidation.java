package stileferry.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.cluster.TaskAssignment;
import stileferry.protocol.OperatorSettings;

/**
 * Empties machines that the work no longer needs, so that they can be returned: nothing new starts there, arrays run
 * out, and services move to machines that hold their image, where they start at once. As much is given back to the
 * work as waits.
 */
final class Consolidation {
    private static final Logger LOG = LoggerFactory.getLogger("consolidation");

    /** Boot times for which next to nothing may have waited. */
    private static final double CALM_BOOTS = 1.0;

    /** Share of all CPUs that may be waited for in calm times: with many jobs, one or the other always waits. */
    private static final double CALM_SHARE = 0.01;

    /** Share of the machines that are emptied at the same time: each holds images that are missed. */
    private static final double EMPTYING_SHARE = 0.03;

    /** Share of the machines from which one service task each may move in one step. */
    private static final double MOVING_SHARE = 0.01;

    /** A replica runs this long before it is moved: a start that is undone sooner counts for nothing. */
    private static final long MIN_RUN_MS = 35_000;

    private final ClusterState cluster;
    private final Placement placement;
    private final Consumer<TaskAssignment> mover;
    private long calmSince;

    Consolidation(ClusterState cluster, Placement placement, long now, Consumer<TaskAssignment> mover) {
        this.cluster = cluster;
        this.placement = placement;
        this.calmSince = now;
        this.mover = mover;
    }

    /** One step, after a regular pass that left these jobs waiting. */
    void step(List<Job> waiting, long now) {
        double wanted = 0;
        for (Job job : waiting) {
            if (cluster.withinTeamLimit(job)) {
                wanted += job.pendingCount() * job.spec().cpus();
            }
        }
        List<Machine> emptying = new ArrayList<>();
        List<Machine> others = new ArrayList<>();
        double all = 0;
        double free = 0;
        for (Machine machine : cluster.machines().values()) {
            if (machine.instance().draining() && !machine.instance().terminating()) {
                emptying.add(machine);
            } else if (machine.schedulable() && !machine.assignments().isEmpty()) {
                all += machine.type().cpus();
                if (!machine.spot()) {
                    others.add(machine);
                    free += free(machine);
                }
            }
        }
        if (wanted > CALM_SHARE * all) {
            calmSince = now;
        }
        if (wanted > 0) {
            giveBack(emptying, wanted);
        } else {
            move(emptying, now);
            choose(others, 1 + (int) (cluster.machines().size() * EMPTYING_SHARE) - emptying.size(), free, all, now);
        }
    }

    private static double free(Machine machine) {
        return machine.type().cpus() - machine.usedCpus();
    }

    /** Lets machines be used again, those with most work first, until they have room for what waits. */
    private void giveBack(List<Machine> emptying, double wanted) {
        emptying.sort(Comparator.comparingDouble(m -> -m.usedCpus()));
        double room = 0;
        for (Machine machine : emptying) {
            if (room >= wanted) {
                return;
            }
            machine.instance().endDrain();
            room += free(machine);
        }
    }

    /** Chooses the machines with least work, as long as that work fits elsewhere and enough stays free. */
    private void choose(List<Machine> machines, int most, double freeNow, double all, long now) {
        machines.sort(Comparator.comparingDouble(Machine::usedCpus).thenComparing(m -> m));
        double free = freeNow;
        for (Machine machine : machines.subList(0, Math.max(0, Math.min(most, machines.size())))) {
            double keep = Math.max(
                    machine.type().cpus(), all * cluster.operatorSettings().number(OperatorSettings.EMPTY_SHARE));
            double elsewhere = free - free(machine);
            if (now - calmSince < CALM_BOOTS * 1000 * machine.type().bootS() || elsewhere < machine.usedCpus() + keep) {
                return;
            }
            LOG.info(
                    "emptying machine {} with {} tasks, {} CPUs are free elsewhere",
                    machine.name(),
                    machine.assignments().size(),
                    elsewhere);
            machine.instance().drain();
            free = elsewhere - machine.usedCpus();
        }
    }

    /** Moves one service task of a machine at a time, once only services are left there. */
    private void move(List<Machine> emptying, long now) {
        int moves = 1 + (int) (cluster.machines().size() * MOVING_SHARE);
        for (Machine from : emptying) {
            TaskAssignment next = moves == 0 ? null : next(from, now);
            if (next != null && elsewhere(next, from, now)) {
                mover.accept(next);
                moves--;
            }
        }
    }

    private static TaskAssignment next(Machine from, long now) {
        TaskAssignment next = null;
        for (TaskAssignment assignment : from.assignments().values()) {
            if (!assignment.job().spec().service()
                    || assignment.stopping()
                    || assignment.runningSince() == 0
                    || now - assignment.runningSince() < MIN_RUN_MS) {
                return null;
            }
            next = assignment;
        }
        return next;
    }

    private boolean elsewhere(TaskAssignment claim, Machine from, long now) {
        boolean[] found = new boolean[1];
        cluster.freeCapacity()
                .visitWithAtLeast(
                        claim.job().spec().cpus(),
                        machine -> found[0] |= machine != from
                                && machine.hasImage(claim.job().spec().image())
                                && machine.fits(claim.job())
                                && placement.allowed(claim.job(), machine, now));
        return found[0];
    }
}
