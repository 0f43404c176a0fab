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
import stileferry.cluster.Resources;
import stileferry.cluster.ZoneAllowance;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;
import stileferry.protocol.OperatorSettings;

/**
 * Plans one scale-out pass: places waiting tasks on the machines that will be up soon, and adds the cheapest machines
 * for the tasks that do not fit.
 */
final class ScaleOutPlan {
    private final ClusterState cluster;
    private final ScaleOutBackOff backOff;
    private final Set<String> unreachableZones;
    private final List<PlannedMachine> bootingOrRequested = new ArrayList<>();
    private final List<PlannedMachine> toRequest = new ArrayList<>();
    private final Map<String, Integer> machinesByZone = new HashMap<>();
    private final Map<String, Resources> plannedByTeam = new HashMap<>();
    private int spotMachines;
    private int allMachines;

    /**
     * Creates a plan that starts from the existing machines, including booting ones, and from the requests in flight.
     */
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

    /** Adds an existing machine. One that is listed as running but sends no heartbeats offers no capacity. */
    private void addExisting(Machine machine) {
        InstancePool pool = new InstancePool(machine.type(), machine.zone(), machine.spot());
        countMachines(pool, 1);
        if (machine.instance().booting()) {
            bootingOrRequested.add(new PlannedMachine(pool));
        }
    }

    private void addRequested(ScaleOutRequest request) {
        countMachines(request.pool(), request.count());
        for (int i = 0; i < request.count(); i++) {
            bootingOrRequested.add(new PlannedMachine(request.pool()));
        }
    }

    private void countMachines(InstancePool pool, int machines) {
        allMachines += machines;
        spotMachines += pool.spot() ? machines : 0;
        machinesByZone.merge(pool.zone(), machines, Integer::sum);
    }

    /** Plans machines for all waiting tasks of a job that its team may run. */
    void add(Job job) {
        JobSpec spec = job.spec();
        Resources plannedForTeam = plannedByTeam.computeIfAbsent(spec.team(), name -> new Resources());
        int tasks = cluster.teamLimits().startableTasks(job, plannedForTeam);
        plannedForTeam.add(spec, tasks);
        ZoneAllowance zones = zones(job, tasks);
        tasks -= placeOnPlanned(spec, tasks, zones);
        while (tasks > 0) {
            PlannedMachine machine = cheapest(spec, zones);
            if (machine == null) {
                return;
            }
            countMachines(machine.pool(), 1);
            toRequest.add(machine);
            tasks -= place(spec, tasks, machine, zones);
        }
    }

    /** Places as many of the tasks on a planned machine as fit and are allowed there, and returns their number. */
    private static int place(JobSpec spec, int tasks, PlannedMachine machine, ZoneAllowance zones) {
        int placed = machine.place(spec, Math.min(tasks, zones.remaining(machine.zone())));
        zones.plan(machine.zone(), placed);
        return placed;
    }

    /** Returns where machines for the tasks of a job may be. */
    private ZoneAllowance zones(Job job, int tasks) {
        String gangZone = job.spec().isGang() && job.spec().oneZone() ? gangZone(job, tasks) : null;
        return gangZone == null ? new ZoneAllowance(job) : ZoneAllowance.in(gangZone, job);
    }

    /**
     * Returns the machines to request, by pool, in batches of at most this size; the largest batches come first, as few
     * calls to the cloud are allowed.
     */
    List<List<PlannedMachine>> batches(int maxSize) {
        Map<String, List<PlannedMachine>> byPool = new HashMap<>();
        for (PlannedMachine machine : toRequest) {
            byPool.computeIfAbsent(machine.pool().key(), key -> new ArrayList<>())
                    .add(machine);
        }
        List<List<PlannedMachine>> batches = new ArrayList<>();
        byPool.values().forEach(machines -> batches.addAll(Lists.partition(machines, maxSize)));
        batches.sort(Comparator.comparingInt(machines -> -machines.size()));
        return batches;
    }

    /**
     * Places tasks on machines that are already planned.
     *
     * @param zones the zones to use; the placed tasks are recorded in it
     * @return the number of tasks placed
     */
    private int placeOnPlanned(JobSpec spec, int tasks, ZoneAllowance zones) {
        int placed = 0;
        for (List<PlannedMachine> machines : List.of(bootingOrRequested, toRequest)) {
            for (PlannedMachine machine : machines) {
                if (placed == tasks) {
                    return placed;
                }
                placed += place(spec, tasks - placed, machine, zones);
            }
        }
        return placed;
    }

    /**
     * Returns the zone for a gang that must run in one zone: the one where most of its tasks fit soon, otherwise the
     * one where the cheapest machine is available, or null if there is none.
     */
    private String gangZone(Job gang, int tasks) {
        Map<String, Integer> fittingByZone = fittingTasksByZone(gang.spec());
        String best = null;
        for (Map.Entry<String, Integer> entry : fittingByZone.entrySet()) {
            String zone = entry.getKey();
            if (!unreachableZones.contains(zone) && (best == null || betterGangZone(zone, best, fittingByZone))) {
                best = zone;
            }
        }
        if (best != null
                && (fittingByZone.get(best) >= tasks || cheapest(gang.spec(), ZoneAllowance.in(best, gang)) != null)) {
            return best;
        }
        PlannedMachine machine = cheapest(gang.spec(), new ZoneAllowance(gang));
        return machine == null ? null : machine.zone();
    }

    private Map<String, Integer> fittingTasksByZone(JobSpec spec) {
        Map<String, Integer> fittingByZone = new HashMap<>();
        for (List<PlannedMachine> machines : List.of(bootingOrRequested, toRequest)) {
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

    /**
     * Returns the cheapest machine that a task may run on and that may be requested now, or null if there is none.
     */
    private PlannedMachine cheapest(JobSpec spec, ZoneAllowance zones) {
        double spotShare = cluster.operatorSettings().number(OperatorSettings.SPOT_SHARE);
        boolean spotAllowed = spotMachines + 1 <= spotShare * (allMachines + 1);
        PlannedMachine best = null;
        for (MachineType type : cluster.machineTypes()) {
            for (String zone : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    PlannedMachine machine = new PlannedMachine(new InstancePool(type, zone, spot));
                    if ((!spot || spotAllowed)
                            && zones.remaining(zone) > 0
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

    /**
     * Returns whether machines of a pool may be requested now; machines that boot in an unreachable zone can't send
     * heartbeats.
     */
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
