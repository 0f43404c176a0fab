package stileferry.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.MachineType;

/** A machine and everything that may be on it. */
public final class Machine implements Comparable<Machine> {
    /** Sums of amounts may be off by this much. */
    private static final double ROUNDING = 1e-6;

    private final String name;
    private String addr = "";
    private String typeName = "";
    private MachineType type;
    private String zone = "";
    private boolean spot;

    /** Heard from in this term. */
    private boolean heard;

    private long session;
    /** When this session was first seen, which must have begun by then. */
    private long sessionSeenAt;

    private long seq;
    private long token;
    private long heardAt;

    /** The newest report, without the answers to commands: what is not newer than that is a copy. */
    private long reportSession;

    private long reportSeq;

    /** The starts in the last answer to a report. */
    private Set<String> answeredRuns = Set.of();

    /** Since when nothing proves that this machine hears us; 0: it does, as far as we know. */
    private long unreachedSince;

    /** When a report of this machine was last answered in this term; 0: never. */
    private long answeredAt;

    /** Its silence as it is noted in the state service; null: not noted. */
    private LastHeartbeatRecord silence;

    /** When a report of it was last answered before this leader began, if the former leader noted it; -1: unknown. */
    private long answeredBefore = -1;

    /** The session of which that is known. */
    private long answeredBeforeSession;

    /** The highest session that is proven to be over, or will be as soon as the machine is heard again. */
    private long lapsedSession;

    /** Seconds until the cloud takes the machine, or -1. */
    private double noticeS = -1;

    private long rentedAt;

    /** Known to be coming up, since this leader rented it or the list said so. */
    private boolean booting;

    private boolean listed;
    private long missingSince;
    private boolean draining;
    private boolean faulty;
    private boolean deleting;
    private long idleSince;
    private long placeAfter;

    /** The newest that was heard from it, in a report or in an answer; null: nothing. */
    private Heartbeat last;

    /**
     * The last report told of every claim, all of them as they should be, and of nothing else. As long as reports tell
     * the same there is nothing to take in and nothing to say.
     */
    private boolean asWanted;

    private final Map<String, TaskAssignment> claims = new LinkedHashMap<>();

    /** Reported tasks that no claim stands for: they are killed, and nothing starts here before they are gone. */
    private boolean strays;

    /** Starts whose outcome is not durable yet, so that they may not be cleared. */
    private final Set<String> settling = new HashSet<>();

    /** Direct start commands without an answer: such a command may be carried out at any time. */
    private final Map<String, Integer> openRuns = new HashMap<>();

    /** Images that tasks here were seen with, the latest last, with their sizes. */
    private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);

    /** Images of the tasks that may be here, with how many need them. */
    private final Map<String, Integer> fetches = new HashMap<>();

    /** Jobs that failed here since a task last succeeded here. */
    private final Map<String, Integer> failures = new HashMap<>();

    /** Where the index of rooms holds this machine; kept by the index. */
    private int roomSlot = -1;

    private double cpusUsed;
    private double gpusUsed;
    private double memoryUsed;
    private double slowdownSum;
    private int slowdownCount;

    Machine(String name) {
        this.name = name;
    }

    /** True when the worker has taken this leader's term, so that no older leader is obeyed or renews its lease. */
    public boolean accepted(long term) {
        return token >= term;
    }

    public boolean usable() {
        return heard
                && type != null
                && !draining
                && !faulty
                && !deleting
                && noticeS < 0
                && !strays
                && unreachedSince == 0;
    }

    /** The tasks that it was last said to have. */
    public List<Heartbeat.TaskStatus> lastTasks() {
        return last == null ? List.of() : last.tasks();
    }

    /** Whether a report tells nothing but that the machine is still there as it was. */
    public boolean sameAsBefore(Heartbeat r) {
        return asWanted
                && r.tasks() == last.tasks()
                && r.session() == session
                && r.token() == token
                && (r.noticeS() < 0 || noticeS >= 0)
                && r.zone().equals(zone)
                && r.addr().equals(addr);
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
    void count(TaskAssignment claim, int sign) {
        asWanted = false;
        boolean empty = claims.isEmpty();
        cpusUsed = empty ? 0 : cpusUsed + sign * claim.job().spec().cpus();
        gpusUsed = empty ? 0 : gpusUsed + sign * claim.job().spec().gpus();
        memoryUsed = empty ? 0 : memoryUsed + sign * claim.job().spec().memoryGb();
        fetches.merge(claim.job().spec().image(), sign, (a, b) -> a + b <= 0 ? null : a + b);
    }

    /** Whether a task of this job fits beside all that may be here. */
    public boolean hasRoom(Job job) {
        return hasRoom(job.spec().cpus(), job.spec().gpus(), job.spec().memoryGb());
    }

    /** Whether so much fits beside all that may be here. */
    boolean hasRoom(double cpus, double gpus, double memoryGb) {
        return cpusUsed + cpus <= type.cpus() + ROUNDING
                && gpusUsed + gpus <= type.gpus() + ROUNDING
                && memoryUsed + memoryGb <= type.memoryGb() + ROUNDING;
    }

    /** How many tasks of this job would fit beside the tasks of its priority and above. */
    public int tasksFittingWithoutLess(Job job) {
        double cpus = type.cpus() - cpusUsed;
        double gpus = type.gpus() - gpusUsed;
        double memory = type.memoryGb() - memoryUsed;
        for (TaskAssignment c : claims.values()) {
            if (c.job().spec().priority().compareTo(job.spec().priority()) > 0) {
                cpus += c.job().spec().cpus();
                gpus += c.job().spec().gpus();
                memory += c.job().spec().memoryGb();
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

    public void finished(double runS, double waitS, double thresholdS) {
        slowdownSum += Math.max(1, (runS + waitS) / Math.max(runS, thresholdS));
        slowdownCount++;
    }

    /** Average bounded slowdown of the tasks finished here; 1 without history. */
    public double slowdown() {
        return slowdownCount == 0 ? 1 : slowdownSum / slowdownCount;
    }

    public void holds(String image, double gb) {
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
    public int fetching() {
        int fetching = 0;
        for (String image : fetches.keySet()) {
            fetching += images.containsKey(image) ? 0 : 1;
        }
        return fetching;
    }

    /** How near an image is: 2, it is here; 1, a task that may be here fetches it; 0, neither. */
    public int nearness(String image) {
        return images.containsKey(image) ? 2 : fetches.containsKey(image) ? 1 : 0;
    }

    public String name() {
        return name;
    }

    public String addr() {
        return addr;
    }

    public void setAddr(String addr) {
        this.addr = addr;
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

    /** Heard from in this term. */
    public boolean heard() {
        return heard;
    }

    public void setHeard(boolean heard) {
        this.heard = heard;
    }

    public long session() {
        return session;
    }

    public void setSession(long session) {
        this.session = session;
    }

    /** When this session was first seen, which must have begun by then. */
    public long sessionSeenAt() {
        return sessionSeenAt;
    }

    public void setSessionSeenAt(long sessionSeenAt) {
        this.sessionSeenAt = sessionSeenAt;
    }

    public long seq() {
        return seq;
    }

    public void setSeq(long seq) {
        this.seq = seq;
    }

    public long token() {
        return token;
    }

    public void setToken(long token) {
        this.token = token;
    }

    public long heardAt() {
        return heardAt;
    }

    public void setHeardAt(long heardAt) {
        this.heardAt = heardAt;
    }

    /** The newest report, without the answers to commands: what is not newer than that is a copy. */
    public long reportSession() {
        return reportSession;
    }

    public void setReportSession(long reportSession) {
        this.reportSession = reportSession;
    }

    public long reportSeq() {
        return reportSeq;
    }

    public void setReportSeq(long reportSeq) {
        this.reportSeq = reportSeq;
    }

    /** The starts in the last answer to a report. */
    public Set<String> answeredRuns() {
        return answeredRuns;
    }

    public void setAnsweredRuns(Set<String> answeredRuns) {
        this.answeredRuns = answeredRuns;
    }

    /** Since when nothing proves that this machine hears us; 0: it does, as far as we know. */
    public long unreachedSince() {
        return unreachedSince;
    }

    public void setUnreachedSince(long unreachedSince) {
        this.unreachedSince = unreachedSince;
    }

    /** When a report of this machine was last answered in this term; 0: never. */
    public long answeredAt() {
        return answeredAt;
    }

    public void setAnsweredAt(long answeredAt) {
        this.answeredAt = answeredAt;
    }

    /** Its silence as it is noted in the state service; null: not noted. */
    public LastHeartbeatRecord silence() {
        return silence;
    }

    public void setSilence(LastHeartbeatRecord silence) {
        this.silence = silence;
    }

    /** When a report of it was last answered before this leader began, if the former leader noted it; -1: unknown. */
    public long answeredBefore() {
        return answeredBefore;
    }

    public void setAnsweredBefore(long answeredBefore) {
        this.answeredBefore = answeredBefore;
    }

    /** The session of which that is known. */
    public long answeredBeforeSession() {
        return answeredBeforeSession;
    }

    public void setAnsweredBeforeSession(long answeredBeforeSession) {
        this.answeredBeforeSession = answeredBeforeSession;
    }

    /** The highest session that is proven to be over, or will be as soon as the machine is heard again. */
    public long lapsedSession() {
        return lapsedSession;
    }

    public void setLapsedSession(long lapsedSession) {
        this.lapsedSession = lapsedSession;
    }

    /** Seconds until the cloud takes the machine, or -1. */
    public double noticeS() {
        return noticeS;
    }

    public void setNoticeS(double noticeS) {
        this.noticeS = noticeS;
    }

    public long rentedAt() {
        return rentedAt;
    }

    public void setRentedAt(long rentedAt) {
        this.rentedAt = rentedAt;
    }

    /** Known to be coming up, since this leader rented it or the list said so. */
    public boolean booting() {
        return booting;
    }

    public void setBooting(boolean booting) {
        this.booting = booting;
    }

    public boolean listed() {
        return listed;
    }

    public void setListed(boolean listed) {
        this.listed = listed;
    }

    public long missingSince() {
        return missingSince;
    }

    public void setMissingSince(long missingSince) {
        this.missingSince = missingSince;
    }

    public boolean draining() {
        return draining;
    }

    public void setDraining(boolean draining) {
        this.draining = draining;
    }

    public boolean faulty() {
        return faulty;
    }

    public void setFaulty(boolean faulty) {
        this.faulty = faulty;
    }

    public boolean deleting() {
        return deleting;
    }

    public void setDeleting(boolean deleting) {
        this.deleting = deleting;
    }

    public long idleSince() {
        return idleSince;
    }

    public void setIdleSince(long idleSince) {
        this.idleSince = idleSince;
    }

    public long placeAfter() {
        return placeAfter;
    }

    public void setPlaceAfter(long placeAfter) {
        this.placeAfter = placeAfter;
    }

    /** The newest that was heard from it, in a report or in an answer; null: nothing. */
    public Heartbeat last() {
        return last;
    }

    public void setLast(Heartbeat last) {
        this.last = last;
    }

    /** The last report told of every claim, all of them as they should be, and of nothing else. As long as reports tell the same there is nothing to take in and nothing to say. */
    public boolean asWanted() {
        return asWanted;
    }

    public void setAsWanted(boolean asWanted) {
        this.asWanted = asWanted;
    }

    public Map<String, TaskAssignment> claims() {
        return claims;
    }

    /** Reported tasks that no claim stands for: they are killed, and nothing starts here before they are gone. */
    public boolean strays() {
        return strays;
    }

    public void setStrays(boolean strays) {
        this.strays = strays;
    }

    /** Starts whose outcome is not durable yet, so that they may not be cleared. */
    public Set<String> settling() {
        return settling;
    }

    /** Direct start commands without an answer: such a command may be carried out at any time. */
    public Map<String, Integer> openRuns() {
        return openRuns;
    }

    /** Jobs that failed here since a task last succeeded here. */
    public Map<String, Integer> failures() {
        return failures;
    }

    /** Where the index of rooms holds this machine; kept by the index. */
    public int roomSlot() {
        return roomSlot;
    }

    public void setRoomSlot(int roomSlot) {
        this.roomSlot = roomSlot;
    }
}
