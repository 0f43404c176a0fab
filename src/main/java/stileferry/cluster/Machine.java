package stileferry.cluster;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;

/**
 * A machine: its type and place, the tasks that may be on it, the capacity that these leave free, and what is known of
 * its agent and of it as an instance.
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

    /** Images that tasks here were seen with, the latest last, with their sizes in GB. */
    private final LinkedHashMap<String, Double> cachedImages = new LinkedHashMap<>(8, 0.75f, true);

    /** Images of the assigned tasks, with how many need them. */
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

    /** What is known of the agent on this machine. */
    public AgentState agent() {
        return agent;
    }

    /** What is known of this machine as a rented instance. */
    public InstanceState instance() {
        return instance;
    }

    /** Whether its agent has acknowledged a term, so that no older leader is obeyed or renews its lease. */
    public boolean hasAcknowledgedTerm(long term) {
        return agent.fencingToken() >= term;
    }

    /** Whether new tasks may start on it, as far as the machine itself is concerned. */
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

    /** The tasks in its newest status. */
    public List<Heartbeat.TaskStatus> reportedTasks() {
        return agent.lastHeartbeat() == null ? List.of() : agent.lastHeartbeat().tasks();
    }

    /** Whether a heartbeat tells nothing but that the machine is still there as it was. */
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

    /** The CPUs of all tasks that may be on it. */
    public double usedCpus() {
        return usedResources.cpus();
    }

    /** The CPUs that the tasks that may be on it leave free; the type must be known. */
    public double freeCpus() {
        return type.cpus() - usedResources.cpus();
    }

    /** Counts a task that may be on it from now on. */
    void addAssignment(TaskAssignment assignment) {
        assignments.put(assignment.taskId(), assignment);
        adjustUsage(assignment.job().spec(), 1);
    }

    /** Counts out a task that is proven not to be on it any more. */
    void removeAssignment(TaskAssignment assignment) {
        assignments.remove(assignment.taskId(), assignment);
        adjustUsage(assignment.job().spec(), -1);
    }

    private void adjustUsage(JobSpec spec, int sign) {
        agent.setReconciled(false);
        usedResources.add(spec, sign);
        if (assignments.isEmpty()) {
            usedResources.clear(); // rounding errors end with the last task
        }
        assignedTasksByImage.merge(
                spec.image(), sign, (before, change) -> before + change <= 0 ? null : before + change);
    }

    /** Whether a task of this job fits beside all that may be on it. */
    public boolean fits(Job job) {
        return fits(job.spec().cpus(), job.spec().gpus(), job.spec().memoryGb());
    }

    /** Whether so much fits beside all that may be on it. */
    boolean fits(Resources wanted) {
        return fits(wanted.cpus(), wanted.gpus(), wanted.memoryGb());
    }

    private boolean fits(double cpus, double gpus, double memoryGb) {
        return usedResources.cpus() + cpus <= type.cpus() + Resources.ROUNDING_TOLERANCE
                && usedResources.gpus() + gpus <= type.gpus() + Resources.ROUNDING_TOLERANCE
                && usedResources.memoryGb() + memoryGb <= type.memoryGb() + Resources.ROUNDING_TOLERANCE;
    }

    /** How many tasks of this job would fit if all tasks of lower priority were preempted. */
    public int tasksFittingWithPreemption(Job job) {
        Resources free = Resources.of(type);
        free.subtract(usedResources);
        for (TaskAssignment assignment : assignments.values()) {
            if (assignment.job().spec().priority().compareTo(job.spec().priority()) > 0) {
                free.add(assignment.job().spec());
            }
        }
        return free.tasksFitting(job.spec());
    }

    /**
     * Takes in the bounded slowdown of a task that has completed on it.
     *
     * @param thresholdS shorter runs count as being this long
     */
    public void recordSlowdown(double runS, double waitS, double thresholdS) {
        slowdownSum += Math.max(1, (runS + waitS) / Math.max(runS, thresholdS));
        slowdownCount++;
    }

    /** The average bounded slowdown of the tasks that completed on it; 1 without history. */
    public double averageSlowdown() {
        return slowdownCount == 0 ? 1 : slowdownSum / slowdownCount;
    }

    /** An image of so many GB was used on it: the least recently used ones give way if the cache is full. */
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

    /** The number of images that assigned tasks need and the machine does not hold yet. */
    public int imagesBeingPulled() {
        int missing = 0;
        for (String image : assignedTasksByImage.keySet()) {
            missing += cachedImages.containsKey(image) ? 0 : 1;
        }
        return missing;
    }

    /** Whether an image is cached here, being pulled here, or neither. */
    public ImageLocality imageLocality(String image) {
        if (cachedImages.containsKey(image)) {
            return ImageLocality.PRESENT;
        }
        return assignedTasksByImage.containsKey(image) ? ImageLocality.BEING_PULLED : ImageLocality.ABSENT;
    }

    public String name() {
        return name;
    }

    /** Where its agent takes commands, as host:port; "" while it is unknown. */
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

    /** Its type; null while it is unknown, or if the cloud does not offer that type. */
    public MachineType type() {
        return type;
    }

    public void setType(MachineType type) {
        this.type = type;
    }

    /** Its zone; "" while it is unknown. */
    public String zone() {
        return zone;
    }

    /** Use {@link ClusterState#setZone}, which also counts the tasks in their new zone. */
    void setZone(String zone) {
        this.zone = zone;
    }

    public boolean spot() {
        return spot;
    }

    public void setSpot(boolean spot) {
        this.spot = spot;
    }

    /** The assignments that are not settled, by task id, the oldest first. The view can't be changed. */
    public Map<String, TaskAssignment> assignments() {
        return assignmentsView;
    }

    /** How often tasks of each job failed on it since a task last succeeded there. The view can't be changed. */
    public Map<String, Integer> failuresByJob() {
        return failuresByJobView;
    }

    public void recordJobFailure(String jobId) {
        failuresByJob.merge(jobId, 1, Integer::sum);
    }

    /** A task has succeeded on it. */
    public void clearFailures() {
        failuresByJob.clear();
    }

    /** Where the index of free capacity holds it; -1: nowhere. Only the index may change it. */
    int capacityBucket() {
        return capacityBucket;
    }

    void setCapacityBucket(int capacitySlot) {
        this.capacityBucket = capacitySlot;
    }
}
