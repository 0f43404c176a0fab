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

/** What the leader knows in one term: the jobs that are not completed, the machines, and what teams use. */
public final class ClusterState {
    /** Deleted machines that are remembered whatever the size: lists and heartbeats of them come late. */
    private static final int MIN_DELETED_REMEMBERED = 4096;

    /** Deleted machines that are remembered for each machine there is. */
    private static final int DELETED_REMEMBERED_PER_MACHINE = 4;

    private final Settings settings;
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
            return size() > Math.max(MIN_DELETED_REMEMBERED, DELETED_REMEMBERED_PER_MACHINE * machines.size());
        }
    });

    private final Set<String> deletedMachinesView = Collections.unmodifiableSet(deletedMachines);
    private final LinkHealth links;
    private final Map<String, TeamUsage> usageByTeam = new HashMap<>();
    private final int[] assignmentsByPriority = new int[JobSpec.Priority.values().length];

    public ClusterState(Settings settings) {
        this(settings, LinkHealth.NONE);
    }

    /** An empty model; {@code links} learns which machines are gone. */
    public ClusterState(Settings settings, LinkHealth links) {
        this.settings = settings;
        this.links = links;
        for (Settings.Team team : settings.teams()) {
            usageByTeam.put(team.name(), new TeamUsage());
        }
    }

    /** Adds a job that was submitted after all that are there. */
    public void addJob(Job job) {
        jobs.put(job.spec().id(), job);
    }

    /** Removes a job that is completed. */
    public void removeJob(Job job) {
        jobs.remove(job.spec().id());
    }

    /** Notes an accepted job whose record can't be read. */
    public void addUnreadableJob(String id) {
        unreadableJobs.add(id);
    }

    /** The machine type of this name; null: the cloud does not offer it. */
    public MachineType machineType(String name) {
        for (MachineType type : machineTypes) {
            if (type.name().equals(name)) {
                return type;
            }
        }
        return null;
    }

    /** The machine of this name, which is added if it is not known yet. */
    public Machine machine(String name) {
        return machines.computeIfAbsent(name, Machine::new);
    }

    /** Counts a task that may be on a machine from now on. */
    public void assign(TaskAssignment assignment) {
        Job job = assignment.job();
        job.addAssignment(assignment);
        Machine machine = machine(assignment.machine());
        machine.addAssignment(assignment);
        freeCapacity.update(machine);
        job.countInZone(machine.zone(), 1);
        countUsage(job.spec(), 1);
    }

    /** Settles an assignment after proof that its task is not on its machine. */
    public void unassign(TaskAssignment assignment, boolean taskCompleted) {
        Job job = assignment.job();
        stoppingTasks.remove(assignment);
        job.removeAssignment(assignment, taskCompleted);
        Machine machine = machine(assignment.machine());
        machine.removeAssignment(assignment);
        freeCapacity.update(machine);
        job.countInZone(machine.zone(), -1);
        countUsage(job.spec(), -1);
    }

    /** Requests that an assigned task stops; a shorter grace period replaces a longer one. */
    public void requestStop(TaskAssignment assignment, double graceS, long now) {
        assignment.requestStop(graceS, now);
        machine(assignment.machine()).agent().setReconciled(false);
        stoppingTasks.add(assignment);
    }

    /** Forgets a machine whose deletion was confirmed. */
    public void forget(Machine machine) {
        freeCapacity.remove(machine);
        machine.agent().discardLastHeartbeatRecord();
        machines.remove(machine.name());
        deletedMachines.add(machine.name());
        links.workerGone(machine.name());
    }

    /** Takes in a machine's zone, which may become known after the assignments on it. */
    public void setZone(Machine machine, String zone) {
        if (!machine.zone().equals(zone)) {
            for (TaskAssignment assignment : machine.assignments().values()) {
                assignment.job().countInZone(machine.zone(), -1);
                assignment.job().countInZone(zone, 1);
            }
            machine.setZone(zone);
        }
    }

    private void countUsage(JobSpec spec, int sign) {
        assignmentsByPriority[spec.priority().ordinal()] += sign;
        TeamUsage usage = usageByTeam.get(spec.team());
        if (usage != null) { // a team that the settings no longer name has no limit to keep
            usage.count(spec, sign);
        }
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

    /** The CPUs of a team's tasks that may be on machines; 0 for a team that the settings don't name. */
    public double cpusInUse(String team) {
        TeamUsage usage = usageByTeam.get(team);
        return usage == null ? 0 : usage.cpus();
    }

    /** The GPUs of a team's tasks that may be on machines; 0 for a team that the settings don't name. */
    public double gpusInUse(String team) {
        TeamUsage usage = usageByTeam.get(team);
        return usage == null ? 0 : usage.gpus();
    }

    /** Whether one more task of the job keeps its team within its limit. */
    public boolean withinTeamLimit(Job job) {
        Settings.Team team = settings.team(job.spec().team());
        return team == null
                || (team.maxCpus() == 0
                                || cpusInUse(team.name()) + job.spec().cpus() <= team.maxCpus() + Resources.ROUNDING)
                        && (team.maxGpus() == 0
                                || gpusInUse(team.name()) + job.spec().gpus() <= team.maxGpus() + Resources.ROUNDING);
    }

    /** Whether a team uses more than its quota, even after giving back so much. */
    public boolean exceedsQuota(String teamName, double givenBackCpus, double givenBackGpus) {
        Settings.Team team = settings.team(teamName);
        return team != null
                && (cpusInUse(teamName) - givenBackCpus > team.guaranteedCpus() + Resources.ROUNDING
                        || gpusInUse(teamName) - givenBackGpus > team.guaranteedGpus() + Resources.ROUNDING);
    }

    public Settings settings() {
        return settings;
    }

    /** The jobs that are not completed, by id, in the order in which they were submitted. The view can't be changed. */
    public Map<String, Job> jobs() {
        return jobsView;
    }

    /** The machines, by name, in the order of their names. The view can't be changed. */
    public Map<String, Machine> machines() {
        return machinesView;
    }

    public FreeCapacityIndex freeCapacity() {
        return freeCapacity;
    }

    public CapacityReservations reservations() {
        return reservations;
    }

    /** The ids of accepted jobs whose records can't be read. */
    public Set<String> unreadableJobs() {
        return unreadableJobsView;
    }

    /** The assignments whose tasks are to stop, the first requested first. */
    public Set<TaskAssignment> stoppingTasks() {
        return stoppingTasksView;
    }

    /** The machine types that the cloud offers; empty while they are unknown. */
    public List<MachineType> machineTypes() {
        return machineTypes;
    }

    public void setMachineTypes(List<MachineType> machineTypes) {
        this.machineTypes = machineTypes;
    }

    /** The operators' settings in force. */
    public OperatorSettings operatorSettings() {
        return operatorSettings;
    }

    public void setOperatorSettings(OperatorSettings operatorSettings) {
        this.operatorSettings = operatorSettings;
    }

    /** Machines whose deletion was confirmed: late lists and late heartbeats still name them, but they are gone. */
    public Set<String> deletedMachines() {
        return deletedMachinesView;
    }
}
