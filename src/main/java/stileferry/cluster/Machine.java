package stileferry.cluster;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.MachineType;

/** A machine and everything that may be on it. */
public final class Machine implements Comparable<Machine> {
    /** Sums of amounts may be off by this much. */
    private static final double ROUNDING = 1e-6;

    private final String name;
    private String address = "";
    private String typeName = "";
    private MachineType type;
    private String zone = "";
    private boolean spot;

    private final AgentState agent = new AgentState();
    private final InstanceState instance = new InstanceState();
    private final Map<String, TaskAssignment> assignments = new LinkedHashMap<>();

    /** Images that tasks here were seen with, the latest last, with their sizes. */
    private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);

    /** Images of the tasks that may be here, with how many need them. */
    private final Map<String, Integer> pulls = new HashMap<>();

    /** Jobs that failed here since a task last succeeded here. */
    private final Map<String, Integer> failuresByJob = new HashMap<>();

    /** Where the index of rooms holds this machine; kept by the index. */
    private int capacitySlot = -1;

    private double cpusUsed;
    private double gpusUsed;
    private double memoryUsed;
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

    /** True when the worker has taken this leader's term, so that no older leader is obeyed or renews its lease. */
    public boolean acknowledgedTerm(long term) {
        return agent.fencingToken() >= term;
    }

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

    /** The tasks that it was last said to have. */
    public List<Heartbeat.TaskStatus> reportedTasks() {
        return agent.lastHeartbeat() == null ? List.of() : agent.lastHeartbeat().tasks();
    }

    /** Whether a report tells nothing but that the machine is still there as it was. */
    public boolean unchangedSince(Heartbeat heartbeat) {
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

    /** CPUs of all tasks that may be here. */
    public double usedCpus() {
        return cpusUsed;
    }

    /** Counts a task that may be here, or no longer is. */
    void addUsage(TaskAssignment claim, int sign) {
        agent.setReconciled(false);
        boolean empty = assignments.isEmpty();
        cpusUsed = empty ? 0 : cpusUsed + sign * claim.job().spec().cpus();
        gpusUsed = empty ? 0 : gpusUsed + sign * claim.job().spec().gpus();
        memoryUsed = empty ? 0 : memoryUsed + sign * claim.job().spec().memoryGb();
        pulls.merge(claim.job().spec().image(), sign, (a, b) -> a + b <= 0 ? null : a + b);
    }

    /** Whether a task of this job fits beside all that may be here. */
    public boolean fits(Job job) {
        return fits(job.spec().cpus(), job.spec().gpus(), job.spec().memoryGb());
    }

    /** Whether so much fits beside all that may be here. */
    boolean fits(double cpus, double gpus, double memoryGb) {
        return cpusUsed + cpus <= type.cpus() + ROUNDING
                && gpusUsed + gpus <= type.gpus() + ROUNDING
                && memoryUsed + memoryGb <= type.memoryGb() + ROUNDING;
    }

    /** How many tasks of this job would fit beside the tasks of its priority and above. */
    public int tasksFittingWithPreemption(Job job) {
        double cpus = type.cpus() - cpusUsed;
        double gpus = type.gpus() - gpusUsed;
        double memory = type.memoryGb() - memoryUsed;
        for (TaskAssignment assignment : assignments.values()) {
            if (assignment.job().spec().priority().compareTo(job.spec().priority()) > 0) {
                cpus += assignment.job().spec().cpus();
                gpus += assignment.job().spec().gpus();
                memory += assignment.job().spec().memoryGb();
            }
        }
        return Math.min(
                fitting(cpus, job.spec().cpus()),
                Math.min(
                        fitting(gpus, job.spec().gpus()),
                        fitting(memory, job.spec().memoryGb())));
    }

    private static int fitting(double free, double wanted) {
        return wanted == 0 ? Integer.MAX_VALUE : (int) Math.max(0, (free + ROUNDING) / wanted);
    }

    public void recordSlowdown(double runS, double waitS, double thresholdS) {
        slowdownSum += Math.max(1, (runS + waitS) / Math.max(runS, thresholdS));
        slowdownCount++;
    }

    /** Average bounded slowdown of the tasks finished here; 1 without history. */
    public double slowdown() {
        return slowdownCount == 0 ? 1 : slowdownSum / slowdownCount;
    }

    public void cacheImage(String image, double gb) {
        images.put(image, gb);
        double sum = 0;
        for (double size : images.values()) {
            sum += size;
        }
        while (type != null && sum > type.cacheGb() && images.size() > 1) {
            String eldest = images.keySet().iterator().next();
            sum -= images.remove(eldest);
        }
    }

    public boolean hasImage(String image) {
        return images.containsKey(image);
    }

    /** Images that tasks which may be here still wait for. */
    public int imagesBeingPulled() {
        int fetching = 0;
        for (String image : pulls.keySet()) {
            fetching += images.containsKey(image) ? 0 : 1;
        }
        return fetching;
    }

    /** How near an image is: 2, it is here; 1, a task that may be here fetches it; 0, neither. */
    public int imageLocality(String image) {
        return images.containsKey(image) ? 2 : pulls.containsKey(image) ? 1 : 0;
    }

    public String name() {
        return name;
    }

    public String address() {
        return address;
    }

    public void setAddress(String addr) {
        this.address = addr;
    }

    public String typeName() {
        return typeName;
    }

    public void setTypeName(String typeName) {
        this.typeName = typeName;
    }

    public MachineType type() {
        return type;
    }

    public void setType(MachineType type) {
        this.type = type;
    }

    public String zone() {
        return zone;
    }

    public void setZone(String zone) {
        this.zone = zone;
    }

    public boolean spot() {
        return spot;
    }

    public void setSpot(boolean spot) {
        this.spot = spot;
    }

    public Map<String, TaskAssignment> assignments() {
        return assignments;
    }

    /** Jobs that failed here since a task last succeeded here. */
    public Map<String, Integer> failuresByJob() {
        return failuresByJob;
    }

    /** Where the index of rooms holds this machine; kept by the index. */
    public int capacitySlot() {
        return capacitySlot;
    }

    public void setCapacitySlot(int roomSlot) {
        this.capacitySlot = roomSlot;
    }
}
