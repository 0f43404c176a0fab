package stileferry.cluster;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;

/**
 * A machine: its type and zone, the tasks that may be on it, its free capacity and cached images, and the state of its
 * agent and of its cloud instance.
 */
public final class Machine implements Comparable<Machine> {
    private final String name;
    private String address = "";
    private String typeName = "";
    private MachineType type;
    private String zone = "";
    private boolean spot;

    private final AgentState agent = new AgentState();
    private final InstanceState instance = new InstanceState();
    private final Map<String, TaskAssignment> assignments = new LinkedHashMap<>();
    private final Map<String, TaskAssignment> assignmentsView = Collections.unmodifiableMap(assignments);

    /** Sizes in GB of the images that are taken to be cached on the machine, the most recently used last. */
    private final LinkedHashMap<String, Double> cachedImages = new LinkedHashMap<>(8, 0.75f, true);

    /** The number of assigned tasks that need each image. */
    private final Map<String, Integer> assignedTasksByImage = new HashMap<>();

    private final Map<String, Integer> failuresByJob = new HashMap<>();
    private final Map<String, Integer> failuresByJobView = Collections.unmodifiableMap(failuresByJob);
    private int capacityBucket = -1;

    private final Resources usedResources = new Resources();
    private double slowdownSum;
    private int slowdownCount;

    Machine(String name) {
        this.name = name;
    }

    /** Returns the state of the agent on this machine. */
    public AgentState agent() {
        return agent;
    }

    /** Returns the state of this machine as a cloud instance. */
    public InstanceState instance() {
        return instance;
    }

    /**
     * Returns whether the agent has acknowledged a term, given by its first fencing token, so that it rejects commands
     * and renewals of older leaders.
     */
    public boolean hasAcknowledgedTerm(long firstToken) {
        return agent.fencingToken() >= firstToken;
    }

    /** Returns whether the state of the machine permits new tasks to start on it, regardless of its free capacity. */
    public boolean schedulable() {
        return agent.heardThisTerm()
                && type != null
                && !instance.draining()
                && !instance.quarantined()
                && !instance.terminating()
                && instance.reclaimNoticeS() < 0
                && !agent.hasOrphanTasks()
                && agent.unreachableSince() == 0;
    }

    /** Returns whether a reported attempt is the one assigned to this machine. */
    public boolean isAssigned(Heartbeat.TaskStatus status) {
        TaskAssignment assignment = assignments.get(status.taskId());
        return assignment != null && assignment.attempt() == status.attempt();
    }

    /** Returns the tasks in the newest status of the agent, or an empty list if there is no status. */
    public List<Heartbeat.TaskStatus> reportedTasks() {
        return agent.lastHeartbeat() == null ? List.of() : agent.lastHeartbeat().tasks();
    }

    /** Returns whether a heartbeat contains nothing new, so that it only shows that the machine is still up. */
    public boolean isUnchangedBy(Heartbeat heartbeat) {
        return agent.reconciled()
                && heartbeat.tasks() == agent.lastHeartbeat().tasks()
                && heartbeat.incarnation() == agent.incarnation()
                && heartbeat.fencingToken() == agent.fencingToken()
                && (heartbeat.reclaimNoticeS() < 0 || instance.reclaimNoticeS() >= 0)
                && heartbeat.zone().equals(zone)
                && heartbeat.address().equals(address);
    }

    @Override
    public int compareTo(Machine other) {
        return name.compareTo(other.name);
    }

    /** Returns the CPUs requested by all tasks that may be on the machine. */
    public double usedCpus() {
        return usedResources.cpus();
    }

    /** Returns the CPUs that are not used by tasks that may be on the machine; its type must be known. */
    public double freeCpus() {
        return type.cpus() - usedResources.cpus();
    }

    /** Adds a task that may be on the machine from now on. */
    void addAssignment(TaskAssignment assignment) {
        assignments.put(assignment.taskId(), assignment);
        adjustUsage(assignment.job().spec(), 1);
    }

    /** Removes a task that is proven not to be on the machine any more. */
    void removeAssignment(TaskAssignment assignment) {
        assignments.remove(assignment.taskId(), assignment);
        adjustUsage(assignment.job().spec(), -1);
    }

    private void adjustUsage(JobSpec spec, int sign) {
        agent.setReconciled(false);
        usedResources.add(spec, sign);
        if (assignments.isEmpty()) {
            usedResources.clear(); // discards accumulated rounding errors
        }
        assignedTasksByImage.merge(
                spec.image(), sign, (before, change) -> before + change <= 0 ? null : before + change);
    }

    /** Returns whether a task of this job fits beside all tasks that may be on the machine; its type must be known. */
    public boolean fits(Job job) {
        return fits(job.spec().cpus(), job.spec().gpus(), job.spec().memoryGb());
    }

    /** Returns whether these resources are free beside all tasks that may be on the machine; its type must be known. */
    boolean fits(Resources needed) {
        return fits(needed.cpus(), needed.gpus(), needed.memoryGb());
    }

    private boolean fits(double cpus, double gpus, double memoryGb) {
        return usedResources.cpus() + cpus <= type.cpus() + Resources.ROUNDING_TOLERANCE
                && usedResources.gpus() + gpus <= type.gpus() + Resources.ROUNDING_TOLERANCE
                && usedResources.memoryGb() + memoryGb <= type.memoryGb() + Resources.ROUNDING_TOLERANCE;
    }

    /** Returns the number of tasks of this job that would fit if all tasks of lower priority were preempted. */
    public int tasksFittingWithPreemption(Job job) {
        return tasksFittingWithout(
                other -> other.priority().compareTo(job.spec().priority()) > 0, job);
    }

    /** Returns the number of tasks of this job that will fit once all tasks that end by themselves have ended. */
    public int tasksFittingBesideServices(Job job) {
        return tasksFittingWithout(other -> !other.isService(), job);
    }

    private int tasksFittingWithout(Predicate<JobSpec> gone, Job job) {
        Resources free = Resources.of(type);
        free.subtract(usedResources);
        for (TaskAssignment assignment : assignments.values()) {
            if (gone.test(assignment.job().spec())) {
                free.add(assignment.job().spec());
            }
        }
        return free.tasksFitting(job.spec());
    }

    /**
     * Records the bounded slowdown of a task that has completed on the machine.
     *
     * @param runS the run time of the task, in seconds
     * @param waitS how long the task waited before it ran, in seconds
     * @param thresholdS the minimum run time that the wait is related to, in seconds; it bounds the slowdown of short
     *     tasks
     */
    public void recordSlowdown(double runS, double waitS, double thresholdS) {
        slowdownSum += Math.max(1, (runS + waitS) / Math.max(runS, thresholdS));
        slowdownCount++;
    }

    /** Returns the average bounded slowdown of the tasks that completed on the machine, or 1 if none has. */
    public double averageSlowdown() {
        return slowdownCount == 0 ? 1 : slowdownSum / slowdownCount;
    }

    /** Adds an image that was used on the machine, and evicts the least recently used ones if the cache is full. */
    public void cacheImage(String image, double sizeGb) {
        cachedImages.put(image, sizeGb);
        double cachedGb = 0;
        for (double size : cachedImages.values()) {
            cachedGb += size;
        }
        while (type != null && cachedGb > type.cacheGb() && cachedImages.size() > 1) {
            String leastRecentlyUsed = cachedImages.keySet().iterator().next();
            cachedGb -= cachedImages.remove(leastRecentlyUsed);
        }
    }

    public boolean hasImage(String image) {
        return cachedImages.containsKey(image);
    }

    /** Returns the number of images that assigned tasks need and that are not cached on the machine yet. */
    public int imagesBeingPulled() {
        int missing = 0;
        for (String image : assignedTasksByImage.keySet()) {
            missing += cachedImages.containsKey(image) ? 0 : 1;
        }
        return missing;
    }

    /** Returns whether an image is cached on the machine, being pulled, or neither. */
    public ImageLocality imageLocality(String image) {
        if (cachedImages.containsKey(image)) {
            return ImageLocality.PRESENT;
        }
        return assignedTasksByImage.containsKey(image) ? ImageLocality.BEING_PULLED : ImageLocality.ABSENT;
    }

    public String name() {
        return name;
    }

    /** Returns the address at which the agent accepts commands, as host:port, or "" while it is unknown. */
    public String address() {
        return address;
    }

    public void setAddress(String address) {
        this.address = address;
    }

    public String typeName() {
        return typeName;
    }

    public void setTypeName(String typeName) {
        this.typeName = typeName;
    }

    /** Returns the machine type, or null while it is unknown or if the cloud does not offer it. */
    public MachineType type() {
        return type;
    }

    public void setType(MachineType type) {
        this.type = type;
    }

    /** Returns the zone, or "" while it is unknown. */
    public String zone() {
        return zone;
    }

    /** Sets the zone. Use {@link ClusterState#setZone} instead, which also updates the jobs' task counts by zone. */
    void setZone(String zone) {
        this.zone = zone;
    }

    public boolean spot() {
        return spot;
    }

    public void setSpot(boolean spot) {
        this.spot = spot;
    }

    /** Returns an unmodifiable view of the assignments that are not settled, by task id, the oldest first. */
    public Map<String, TaskAssignment> assignments() {
        return assignmentsView;
    }

    /** Returns an unmodifiable view of the failures by job id, counted since a task last succeeded on the machine. */
    public Map<String, Integer> failuresByJob() {
        return failuresByJobView;
    }

    public void recordJobFailure(String jobId) {
        failuresByJob.merge(jobId, 1, Integer::sum);
    }

    /** Clears the failure counts of all jobs, because a task has succeeded on the machine. */
    public void clearFailures() {
        failuresByJob.clear();
    }

    /** Returns the machine's bucket in {@link FreeCapacityIndex}, or -1 if it is in none. Only the index may set it. */
    int capacityBucket() {
        return capacityBucket;
    }

    void setCapacityBucket(int capacityBucket) {
        this.capacityBucket = capacityBucket;
    }
}
