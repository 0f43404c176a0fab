package stileferry.autoscaling;

import com.google.common.collect.Lists;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.cluster.Machine;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;
import stileferry.protocol.OperatorSettings;
import stileferry.protocol.Settings;

/**
 * Plans one pass of scaling out: places waiting tasks on the machines that will be up soon, and adds the cheapest
 * machines for those that do not fit.
 */
final class ScaleOutPlan {
    /** Sums of amounts may be off by this much. */
    private static final double ROUNDING = 1e-6;

    private final ClusterState cluster;
    private final ScaleOutBackOff backOff;
    private final Set<String> unreachableZones;
    private final List<PlannedMachine> upSoon = new ArrayList<>();
    private final List<PlannedMachine> added = new ArrayList<>();
    private final Map<String, Integer> machinesByZone = new HashMap<>();
    private final Map<String, Double> cpusByTeam = new HashMap<>();
    private int spotMachines;
    private int allMachines;

    /** Starts from the machines that there are, those that boot included, and from the requests that are under way. */
    ScaleOutPlan(
            ClusterState cluster,
            ScaleOutBackOff backOff,
            Set<String> unreachableZones,
            List<ScaleOutRequest> pendingRequests) {
        this.cluster = cluster;
        this.backOff = backOff;
        this.unreachableZones = unreachableZones;
        for (Machine machine : cluster.machines().values()) {
            if (!machine.instance().terminating() && machine.type() != null) {
                addExisting(machine);
            }
        }
        pendingRequests.forEach(this::addRequested);
    }

    /** A machine that is said to run but sends no heartbeats is not counted on. */
    private void addExisting(Machine machine) {
        InstancePool pool = new InstancePool(machine.type(), machine.zone(), machine.spot());
        count(pool, 1);
        if (machine.instance().booting()) {
            upSoon.add(new PlannedMachine(pool));
        }
    }

    private void addRequested(ScaleOutRequest request) {
        count(request.pool(), request.count());
        for (int i = 0; i < request.count(); i++) {
            upSoon.add(new PlannedMachine(request.pool()));
        }
    }

    private void count(InstancePool pool, int machines) {
        allMachines += machines;
        spotMachines += pool.spot() ? machines : 0;
        machinesByZone.merge(pool.zone(), machines, Integer::sum);
    }

    /** Plans machines for all tasks of a job that wait and that its team may run. */
    void add(Job job) {
        JobSpec spec = job.spec();
        int tasks = tasksWithinTeamLimit(job);
        String onlyZone = spec.isGang() && spec.oneZone() ? gangZone(spec, tasks) : null;
        tasks -= placeOnPlanned(spec, tasks, onlyZone);
        while (tasks > 0) {
            PlannedMachine machine = cheapest(spec, onlyZone);
            if (machine == null) {
                return;
            }
            count(machine.pool(), 1);
            added.add(machine);
            tasks -= machine.place(spec, tasks);
        }
    }

    /** The added machines, by pool, in batches of this size at most; the largest batches first, as calls are few. */
    List<List<PlannedMachine>> batches(int maxSize) {
        Map<String, List<PlannedMachine>> byPool = new HashMap<>();
        for (PlannedMachine machine : added) {
            byPool.computeIfAbsent(machine.pool().key(), key -> new ArrayList<>())
                    .add(machine);
        }
        List<List<PlannedMachine>> batches = new ArrayList<>();
        byPool.values().forEach(machines -> batches.addAll(Lists.partition(machines, maxSize)));
        batches.sort(Comparator.comparingInt(machines -> -machines.size()));
        return batches;
    }

    /** How many of a job's waiting tasks its team may still run, after what was planned for earlier jobs. */
    private int tasksWithinTeamLimit(Job job) {
        Settings.Team team = cluster.settings().team(job.spec().team());
        int waiting = job.pendingCount();
        double cpusPerTask = job.spec().cpus();
        if (team == null || team.maxCpus() == 0 || cpusPerTask == 0) {
            return waiting;
        }
        double cpus = cpusByTeam.getOrDefault(team.name(), cluster.cpusInUse(team.name()));
        int tasks = (int) Math.max(0, Math.min(waiting, (team.maxCpus() - cpus + ROUNDING) / cpusPerTask));
        cpusByTeam.put(team.name(), cpus + tasks * cpusPerTask);
        return tasks;
    }

    /** Places tasks on machines that are planned already, in one zone or (null) in any; returns how many fit. */
    private int placeOnPlanned(JobSpec spec, int tasks, String onlyZone) {
        int placed = 0;
        for (List<PlannedMachine> machines : List.of(upSoon, added)) {
            for (PlannedMachine machine : machines) {
                if (placed == tasks) {
                    return placed;
                }
                if (onlyZone == null || onlyZone.equals(machine.zone())) {
                    placed += machine.place(spec, tasks - placed);
                }
            }
        }
        return placed;
    }

    /** The one zone for a gang: where most of its tasks fit soon, else where the cheapest machine is available. */
    private String gangZone(JobSpec spec, int tasks) {
        Map<String, Integer> fittingByZone = fittingTasksByZone(spec);
        String best = null;
        for (Map.Entry<String, Integer> entry : fittingByZone.entrySet()) {
            String zone = entry.getKey();
            if (!unreachableZones.contains(zone) && (best == null || betterGangZone(zone, best, fittingByZone))) {
                best = zone;
            }
        }
        if (best != null && (fittingByZone.get(best) >= tasks || cheapest(spec, best) != null)) {
            return best;
        }
        PlannedMachine machine = cheapest(spec, null);
        return machine == null ? null : machine.zone();
    }

    private Map<String, Integer> fittingTasksByZone(JobSpec spec) {
        Map<String, Integer> fittingByZone = new HashMap<>();
        for (List<PlannedMachine> machines : List.of(upSoon, added)) {
            for (PlannedMachine machine : machines) {
                if (machine.fits(spec)) {
                    int tasks = spec.cpus() > 0 ? (int) Math.max(1, machine.freeCpus() / spec.cpus()) : 1;
                    fittingByZone.merge(machine.zone(), tasks, Integer::sum);
                }
            }
        }
        return fittingByZone;
    }

    private static boolean betterGangZone(String zone, String than, Map<String, Integer> fittingByZone) {
        int fitting = fittingByZone.get(zone);
        int other = fittingByZone.get(than);
        return fitting > other || fitting == other && zone.compareTo(than) < 0;
    }

    /** The cheapest machine, in one zone or (null) in any, that a task may run on and that may be requested now. */
    private PlannedMachine cheapest(JobSpec spec, String onlyZone) {
        double spotShare = cluster.operatorSettings().number(OperatorSettings.SPOT_SHARE);
        boolean moreSpot = spotMachines + 1 <= spotShare * (allMachines + 1);
        PlannedMachine best = null;
        for (MachineType type : cluster.machineTypes()) {
            for (String zone : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    PlannedMachine machine = new PlannedMachine(new InstancePool(type, zone, spot));
                    if ((!spot || moreSpot)
                            && (onlyZone == null || onlyZone.equals(zone))
                            && mayRequest(machine.pool())
                            && machine.fits(spec)
                            && (best == null || cheaper(machine.pool(), best.pool()))) {
                        best = machine;
                    }
                }
            }
        }
        return best;
    }

    /** Machines that boot in an unreachable zone can't send heartbeats. */
    private boolean mayRequest(InstancePool pool) {
        return backOff.permits(pool) && !unreachableZones.contains(pool.zone());
    }

    private boolean cheaper(InstancePool pool, InstancePool than) {
        if (pool.price() != than.price()) {
            return pool.price() < than.price();
        }
        return machinesByZone.getOrDefault(pool.zone(), 0) < machinesByZone.getOrDefault(than.zone(), 0);
    }
}
