package stileferry.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import stileferry.protocol.Features;
import stileferry.protocol.JobSpec;
import stileferry.protocol.Settings;
import stileferry.standin.Cloud;
import stileferry.standin.GangSimulation;
import stileferry.standin.KeyValueStore;
import stileferry.standin.Worker;

/**
 * Real controllers in a simulated cluster: one clock, one queue of events, one seeded source of randomness, and
 * stand-ins for all outside systems. The same seed plays the same events in the same order. The invariants are checked
 * whenever something happens that could break one.
 */
public final class SimulatedCluster {
    static final String STORE = "10.9.0.1:1";
    public static final String CLOUD = "10.9.0.2:1";
    static final int CONTROLLER_COUNT = 3;
    static final double CANCEL_S = 20;
    private static final double HEARTBEAT_INTERVAL_S = 2;
    private static final double WRITES_PER_S = 50;
    private static final long TICK_INTERVAL_MS = 50;
    private static final double LEADER_ELECTION_S = 3;

    public final SplittableRandom random;
    public final List<String> violations = new ArrayList<>();
    public final Map<String, ControllerNode> controllers = new LinkedHashMap<>();

    /** The agents of all machines that are up, by address. */
    final Map<String, Worker> workers = new HashMap<>();

    public final KeyValueStore store = new KeyValueStore(12, 8);
    public final Cloud cloud;
    final GangSimulation gangs = new GangSimulation(8, 3);

    public final FaultInjection faults = new FaultInjection(this);
    public final SimulatedUsers users = new SimulatedUsers(this);
    public final RunningTasks tasks = new RunningTasks(this);
    final SimulatedMachines machines = new SimulatedMachines(this);
    final SimulatedNetwork network = new SimulatedNetwork(this);
    final InvariantChecks invariants = new InvariantChecks(this);
    final GangStartCheck gangStartCheck = new GangStartCheck(store, id -> users.get(id).spec);

    public long now = 1_000_000;

    /** What the controllers that start from now on have turned on. */
    Features features = Features.NONE;

    /** Controllers of a version that has no features, whatever is turned on. */
    final Set<String> controllersWithoutFeatures = new TreeSet<>();

    /**
     * Controllers whose records to other controllers have the form of the first version, f7fe539, which neither writes
     * nor reads what they know of cancellations.
     */
    final Set<String> controllersWithOldMessageFormat = new TreeSet<>();

    /** Direct commands that reached a worker and ask for something. */
    int directCommandCount;

    final long heartbeatIntervalMs;
    final long leaseMs;
    private final Settings settingsTemplate;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nextEventId;

    private record Event(long dueAt, long id, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event event) {
            return dueAt != event.dueAt ? Long.compare(dueAt, event.dueAt) : Long.compare(id, event.id);
        }
    }

    public SimulatedCluster(long seed) {
        this(seed, 5, HEARTBEAT_INTERVAL_S, 40);
    }

    /** A cluster with so many machines of each kind in each of two zones, and a limit for the team that has one. */
    public SimulatedCluster(long seed, int machineLimit, double reportS, double redMax) {
        this(seed, machineLimit, reportS, redMax, WRITES_PER_S);
    }

    /** A cluster whose key-value store takes so many changes a second. */
    SimulatedCluster(long seed, int machineLimit, double reportS, double redMax, double writesPerS) {
        random = new SplittableRandom(seed);
        heartbeatIntervalMs = Math.round(reportS * 1000);
        leaseMs = 5 * heartbeatIntervalMs;
        settingsTemplate = SimulatedSettings.of("n0", reportS, redMax, writesPerS);
        cloud = new Cloud(
                "box",
                SimulatedMachines.CPUS,
                SimulatedMachines.MEMORY_GB,
                5,
                List.of("za", "zb"),
                machineLimit,
                3000,
                machines::boot,
                machines::remove);
        for (int i = 0; i < CONTROLLER_COUNT; i++) {
            Settings settings = SimulatedSettings.of("n" + i, reportS, redMax, writesPerS);
            controllers.put("n" + i, new ControllerNode(this, settings));
        }
        controllers.values().forEach(controller -> after(random.nextLong(500), controller::start));
        after(TICK_INTERVAL_MS, this::tick);
    }

    /** A cluster after its first seconds, in which a leader is elected. */
    public static SimulatedCluster started(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        cluster.runFor(LEADER_ELECTION_S);
        return cluster;
    }

    /** The same with so many machines of each kind in each zone, and a limit for the team that has one. */
    public static SimulatedCluster started(long seed, int machineLimit, double reportS, double redMax) {
        SimulatedCluster cluster = new SimulatedCluster(seed, machineLimit, reportS, redMax);
        cluster.runFor(LEADER_ELECTION_S);
        return cluster;
    }

    public void after(long ms, Runnable task) {
        events.add(new Event(now + Math.max(0, ms), nextEventId++, task));
    }

    /** Plays so many seconds and stops at the first invariant that is violated. */
    public void runFor(double seconds) {
        long end = now + Math.round(seconds * 1000);
        while (violations.isEmpty() && !events.isEmpty() && events.peek().dueAt <= end) {
            Event event = events.poll();
            now = event.dueAt;
            event.task.run();
        }
        now = Math.max(now, end);
    }

    private void tick() {
        if (!faults.storeDown) {
            store.tick(now);
        }
        cloud.tick(now);
        for (Worker worker : List.copyOf(workers.values())) {
            worker.tick(now);
        }
        machines.replayRecordedHeartbeats();
        invariants.tick();
        after(TICK_INTERVAL_MS, this::tick);
    }

    public SimulatedUser submit(JobSpec spec) {
        return users.submit(spec);
    }

    void cancel(SimulatedUser user) {
        users.cancel(user);
    }

    Settings.Team team(String name) {
        return settingsTemplate.team(name);
    }

    ControllerNode randomController() {
        return controllers.get("n" + random.nextInt(CONTROLLER_COUNT));
    }

    List<ControllerNode> peersOf(ControllerNode controller) {
        return controllers.values().stream().filter(n -> n != controller).toList();
    }

    /** The highest term in the key-value store. */
    long term() {
        return store.value("a/term").path("term").asLong();
    }

    /** The controller that leads and has read all state, or null. */
    public ControllerNode leader() {
        for (ControllerNode controller : controllers.values()) {
            if (controller.up() && controller.coordinator.ready() && controller.coordinator.leads()) {
                return controller;
            }
        }
        return null;
    }
}
