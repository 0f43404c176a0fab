package stileferry.cluster;

import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import stileferry.links.LinkHealth;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;
import stileferry.protocol.OperatorSettings;
import stileferry.protocol.Settings;

/** The leader's model of the cluster in one term: jobs that are not completed, machines, and resource usage by team. */
public final class ClusterState {
    /**
     * The minimum number of deleted machines whose names are kept, regardless of the size of the cluster, because
     * outdated lists of the cloud and late heartbeats may still contain them.
     */
    private static final int MIN_DELETED_MACHINES_KEPT = 4096;

    /** The number of deleted machines whose names are kept, per existing machine. */
    private static final int DELETED_MACHINES_KEPT_PER_MACHINE = 4;

    private final Settings settings;
    private final InvariantMonitor invariants;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Job> jobsView = Collections.unmodifiableMap(jobs);
    private final Map<String, Machine> machines = new TreeMap<>();
    private final Map<String, Machine> machinesView = Collections.unmodifiableMap(machines);
    private final FreeCapacityIndex freeCapacity = new FreeCapacityIndex();
    private final CapacityReservations reservations = new CapacityReservations();

    private final Set<String> unreadableJobs = new HashSet<>();
    private final Set<String> unreadableJobsView = Collections.unmodifiableSet(unreadableJobs);

    private final Set<TaskAssignment> stoppingTasks = new LinkedHashSet<>();
    private final Set<TaskAssignment> stoppingTasksView = Collections.unmodifiableSet(stoppingTasks);

    private List<MachineType> machineTypes = List.of();

    private OperatorSettings operatorSettings = OperatorSettings.defaults();

    private final Set<String> deletedMachines = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > Math.max(MIN_DELETED_MACHINES_KEPT, DELETED_MACHINES_KEPT_PER_MACHINE * machines.size());
        }
    });

    private final Set<String> deletedMachinesView = Collections.unmodifiableSet(deletedMachines);
    private final LinkHealth linkHealth;
    private final TeamLimits teamLimits;
    private final int[] assignmentsByPriority = new int[JobSpec.Priority.values().length];

    public ClusterState(Settings settings) {
        this(settings, LinkHealth.NONE, new InvariantMonitor());
    }

    /** Creates an empty model; {@code linkHealth} is notified of machines that are gone. */
    public ClusterState(Settings settings, LinkHealth linkHealth, InvariantMonitor invariants) {
        this.settings = settings;
        this.invariants = invariants;
        this.linkHealth = linkHealth;
        this.teamLimits = new TeamLimits(settings, invariants);
    }

    /** Adds a job; jobs have to be added in the order of their submission. */
    public void addJob(Job job) {
        jobs.put(job.spec().id(), job);
    }

    /** Removes a completed job. */
    public void removeJob(Job job) {
        jobs.remove(job.spec().id());
    }

    /** Adds the id of an accepted job whose stored record can't be read. */
    public void addUnreadableJob(String id) {
        unreadableJobs.add(id);
    }

    /** Returns the machine type with this name, or null if the cloud does not offer it. */
    public MachineType machineType(String name) {
        for (MachineType type : machineTypes) {
            if (type.name().equals(name)) {
                return type;
            }
        }
        return null;
    }

    /** Returns the machine with this name, after adding it if it is not known yet. */
    public Machine getOrAddMachine(String name) {
        return machines.computeIfAbsent(name, Machine::new);
    }

    /**
     * Adds an assignment to its job, its machine and the usage of its team; the task may be on the machine from now on.
     */
    public void assign(TaskAssignment assignment) {
        Job job = assignment.job();
        if (job.assignments().containsKey(assignment.index())) {
            invariants.violated(
                    InvariantMonitor.Invariant.ONE_ASSIGNMENT_PER_TASK,
                    "attempt=" + assignment.attemptId() + " machine=" + assignment.machine());
        }
        job.addAssignment(assignment);
        Machine machine = getOrAddMachine(assignment.machine());
        machine.addAssignment(assignment);
        freeCapacity.update(machine);
        job.adjustTasksInZone(machine.zone(), 1);
        adjustUsage(job.spec(), 1);
    }

    /** Settles an assignment after proof that its task is not on its machine any more. */
    public void unassign(TaskAssignment assignment, boolean taskCompleted) {
        Job job = assignment.job();
        stoppingTasks.remove(assignment);
        job.removeAssignment(assignment, taskCompleted);
        Machine machine = getOrAddMachine(assignment.machine());
        machine.removeAssignment(assignment);
        freeCapacity.update(machine);
        job.adjustTasksInZone(machine.zone(), -1);
        adjustUsage(job.spec(), -1);
    }

    /** Requests that an assigned task stops; a shorter grace period in seconds replaces a longer one. */
    public void requestStop(TaskAssignment assignment, double graceS, long now) {
        assignment.requestStop(graceS, now);
        getOrAddMachine(assignment.machine()).agent().setReconciled(false);
        stoppingTasks.add(assignment);
    }

    /** Removes a machine whose deletion the cloud has confirmed. */
    public void removeDeletedMachine(Machine machine) {
        freeCapacity.remove(machine);
        machine.agent().lease().discardLastHeartbeatRecord();
        machines.remove(machine.name());
        deletedMachines.add(machine.name());
        linkHealth.workerRemoved(machine.name());
    }

    /** Sets a machine's zone, which may become known only after tasks have been assigned to the machine. */
    public void setZone(Machine machine, String zone) {
        if (!machine.zone().equals(zone)) {
            for (TaskAssignment assignment : machine.assignments().values()) {
                assignment.job().adjustTasksInZone(machine.zone(), -1);
                assignment.job().adjustTasksInZone(zone, 1);
            }
            machine.setZone(zone);
        }
    }

    private void adjustUsage(JobSpec spec, int sign) {
        assignmentsByPriority[spec.priority().ordinal()] += sign;
        teamLimits.adjust(spec, sign);
    }

    /** Returns whether any task of a lower priority may be on a machine. */
    public boolean hasTasksBelowPriority(JobSpec.Priority priority) {
        for (int i = priority.ordinal() + 1; i < assignmentsByPriority.length; i++) {
            if (assignmentsByPriority[i] > 0) {
                return true;
            }
        }
        return false;
    }

    /** Returns what the teams use, and what their limits and quotas allow. */
    public TeamLimits teamLimits() {
        return teamLimits;
    }

    /** Returns the monitor of the invariants that are checked while this controller runs. */
    public InvariantMonitor invariants() {
        return invariants;
    }

    public Settings settings() {
        return settings;
    }

    /** Returns an unmodifiable view of the jobs that are not completed, by id, in the order of submission. */
    public Map<String, Job> jobs() {
        return jobsView;
    }

    /** Returns an unmodifiable view of the machines, by name and sorted by name. */
    public Map<String, Machine> machines() {
        return machinesView;
    }

    public FreeCapacityIndex freeCapacity() {
        return freeCapacity;
    }

    public CapacityReservations reservations() {
        return reservations;
    }

    /** Returns the ids of accepted jobs whose stored records can't be read. */
    public Set<String> unreadableJobs() {
        return unreadableJobsView;
    }

    /** Returns the unsettled assignments whose tasks are to stop, in the order of the requests. */
    public Set<TaskAssignment> stoppingTasks() {
        return stoppingTasksView;
    }

    /** Returns the machine types that the cloud offers, or an empty list while they are unknown. */
    public List<MachineType> machineTypes() {
        return machineTypes;
    }

    public void setMachineTypes(List<MachineType> machineTypes) {
        this.machineTypes = machineTypes;
    }

    /** Returns the operator settings in effect. */
    public OperatorSettings operatorSettings() {
        return operatorSettings;
    }

    public void setOperatorSettings(OperatorSettings operatorSettings) {
        this.operatorSettings = operatorSettings;
    }

    /**
     * Returns the names of deleted machines, which late heartbeats and outdated lists of the cloud may still contain.
     */
    public Set<String> deletedMachines() {
        return deletedMachinesView;
    }
}
