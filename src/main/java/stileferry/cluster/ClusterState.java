package stileferry.cluster;

import java.util.Collections;
import java.util.HashMap;
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

/** What the leader knows in one term: the jobs that are not over, the machines, and the teams' use. */
public final class ClusterState {
    private static final double EPSILON = 1e-6;
    private static final int LEAST_DELETED_REMEMBERED = 4096;

    /** Deleted machines that are remembered for each that is there: lists and reports of them come late. */
    private static final int DELETED_REMEMBERED_EACH = 4;

    private final Settings settings;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new TreeMap<>();
    private final FreeCapacityIndex freeCapacity = new FreeCapacityIndex();
    private final CapacityReservations reservations = new CapacityReservations();

    /** Accepted jobs whose records can't be read. */
    private final Set<String> unreadableJobs = new HashSet<>();

    /** Claims whose tasks were told to stop. */
    private final Set<TaskAssignment> stoppingTasks = new LinkedHashSet<>();

    private List<MachineType> machineTypes = List.of();

    /** The operators' settings in force. */
    private OperatorSettings operatorSettings = OperatorSettings.defaults();

    /** Machines whose deletion was confirmed: late lists and late reports still name them, but they are gone. */
    private final Set<String> deletedMachines = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > Math.max(LEAST_DELETED_REMEMBERED, DELETED_REMEMBERED_EACH * machines.size());
        }
    });

    private final LinkHealth links;
    private final Map<String, double[]> usageByTeam = new HashMap<>();
    private final int[] assignmentsByPriority = new int[JobSpec.Priority.values().length];

    public ClusterState(Settings settings) {
        this(settings, LinkHealth.NONE);
    }

    public ClusterState(Settings settings, LinkHealth links) {
        this.settings = settings;
        this.links = links;
        for (Settings.Team team : settings.teams()) {
            usageByTeam.put(team.name(), new double[3]);
        }
    }

    public MachineType machineType(String name) {
        for (MachineType type : machineTypes) {
            if (type.name().equals(name)) {
                return type;
            }
        }
        return null;
    }

    public Machine machine(String name) {
        return machines.computeIfAbsent(name, Machine::new);
    }

    /** Counts a task that may be on a machine from now on. */
    public void assign(TaskAssignment claim) {
        claim.job().assignments().put(claim.index(), claim);
        claim.job().completedOrAssigned().set(claim.index());
        Machine machine = machine(claim.machine());
        machine.assignments().put(claim.taskId(), claim);
        machine.addUsage(claim, 1);
        freeCapacity.update(machine);
        claim.job().tasksInZone().merge(machine.zone(), 1, Integer::sum);
        count(claim, 1);
    }

    /** Ends a claim after proof that its task is not on its machine. */
    public void unassign(TaskAssignment claim, boolean done) {
        claim.job().assignments().remove(claim.index(), claim);
        stoppingTasks.remove(claim);
        if (done) {
            claim.job().markCompleted(claim.index());
        } else {
            claim.job().completedOrAssigned().clear(claim.index());
        }
        Machine machine = machine(claim.machine());
        machine.assignments().remove(claim.taskId(), claim);
        machine.addUsage(claim, -1);
        freeCapacity.update(machine);
        claim.job().tasksInZone().merge(machine.zone(), -1, (a, b) -> a + b == 0 ? null : a + b);
        count(claim, -1);
    }

    /** Wants a claimed task to stop; a shorter time to save replaces a longer one. */
    public void requestStop(TaskAssignment claim, double graceS, long now) {
        claim.requestStop(graceS, now);
        machine(claim.machine()).agent().setReconciled(false);
        stoppingTasks.add(claim);
    }

    /** Forgets a machine that is gone. */
    public void forget(Machine machine) {
        freeCapacity.remove(machine);
        if (machine.agent().lastHeartbeatRecord() != null) {
            machine.agent().lastHeartbeatRecord().setObsolete(true);
            machine.agent().setLastHeartbeatRecord(null);
        }
        machines.remove(machine.name());
        deletedMachines.add(machine.name());
        links.workerGone(machine.name());
    }

    /** Takes in a machine's zone when it becomes known after claims on it were read. */
    public void setZone(Machine machine, String zone) {
        if (!machine.zone().equals(zone)) {
            for (TaskAssignment claim : machine.assignments().values()) {
                claim.job().tasksInZone().merge(machine.zone(), -1, (a, b) -> a + b == 0 ? null : a + b);
                claim.job().tasksInZone().merge(zone, 1, Integer::sum);
            }
            machine.setZone(zone);
        }
    }

    private void count(TaskAssignment claim, int sign) {
        assignmentsByPriority[claim.job().spec().priority().ordinal()] += sign;
        double[] sums = usageByTeam.get(claim.job().spec().team());
        if (sums == null) {
            return; // a team that the settings no longer name has no limit to keep
        }
        sums[2] += sign;
        sums[0] = sums[2] == 0 ? 0 : sums[0] + sign * claim.job().spec().cpus();
        sums[1] = sums[2] == 0 ? 0 : sums[1] + sign * claim.job().spec().gpus();
    }

    /** Whether any task of a lower priority may be on a machine. */
    public boolean anyOfLowerPriority(JobSpec.Priority priority) {
        for (int i = priority.ordinal() + 1; i < assignmentsByPriority.length; i++) {
            if (assignmentsByPriority[i] > 0) {
                return true;
            }
        }
        return false;
    }

    public double cpusInUse(String team) {
        double[] sums = usageByTeam.get(team);
        return sums == null ? 0 : sums[0];
    }

    public double gpusInUse(String team) {
        double[] sums = usageByTeam.get(team);
        return sums == null ? 0 : sums[1];
    }

    /** Whether one more task of the job keeps its team within its limit. */
    public boolean withinTeamLimit(Job job) {
        Settings.Team team = settings.team(job.spec().team());
        return team == null
                || (team.cpusMax() == 0 || cpusInUse(team.name()) + job.spec().cpus() <= team.cpusMax() + EPSILON)
                        && (team.gpusMax() == 0
                                || gpusInUse(team.name()) + job.spec().gpus() <= team.gpusMax() + EPSILON);
    }

    /** Whether the team runs more than its guarantee, even after giving back so much. */
    public boolean exceedsQuota(String name, double givenBackCpus, double givenBackGpus) {
        Settings.Team team = settings.team(name);
        return team != null
                && (cpusInUse(name) - givenBackCpus > team.cpus() + EPSILON
                        || gpusInUse(name) - givenBackGpus > team.gpus() + EPSILON);
    }

    public Settings settings() {
        return settings;
    }

    public Map<String, Job> jobs() {
        return jobs;
    }

    public Map<String, Machine> machines() {
        return machines;
    }

    public FreeCapacityIndex freeCapacity() {
        return freeCapacity;
    }

    public CapacityReservations reservations() {
        return reservations;
    }

    /** Accepted jobs whose records can't be read. */
    public Set<String> unreadableJobs() {
        return unreadableJobs;
    }

    /** Claims whose tasks were told to stop. */
    public Set<TaskAssignment> stoppingTasks() {
        return stoppingTasks;
    }

    public List<MachineType> machineTypes() {
        return machineTypes;
    }

    public void setMachineTypes(List<MachineType> types) {
        this.machineTypes = types;
    }

    /** The operators' settings in force. */
    public OperatorSettings operatorSettings() {
        return operatorSettings;
    }

    public void setOperatorSettings(OperatorSettings options) {
        this.operatorSettings = options;
    }

    /** Machines whose deletion was confirmed: late lists and late reports still name them, but they are gone. */
    public Set<String> deletedMachines() {
        return deletedMachines;
    }
}
