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
import stileferry.leadership.FencingTokens;
import stileferry.protocol.Features;
import stileferry.protocol.JobSpec;
import stileferry.protocol.Settings;
import stileferry.standin.Cloud;
import stileferry.standin.GangSimulation;
import stileferry.standin.KeyValueStore;
import stileferry.standin.Worker;

/**
 * A simulated cluster that runs real controllers: one clock, one event queue, one seeded random generator, and
 * stand-ins for all external systems. The same seed produces the same events in the same order. The invariants are
 * checked whenever something happens that could violate one of them.
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

    /** The agents of all running machines, by address. */
    final Map<String, Worker> workers = new HashMap<>();

    public final KeyValueStore store = new KeyValueStore(12, 8);
    public final Cloud cloud;
    final GangSimulation gangs = new GangSimulation(8, 3);

    public final FaultInjection faults = new FaultInjection(this);
    public final SimulatedUsers users = new SimulatedUsers(this);
    public final RunningTasks tasks = new RunningTasks(this);
    final SimulatedMachines machines = new SimulatedMachines(this);
    final SimulatedNetwork network = new SimulatedNetwork(this);
    final RepeatedRequests repeatedRequests;
    final InvariantChecks invariants = new InvariantChecks(this);
    final GangStartCheck gangStartCheck = new GangStartCheck(store, id -> users.get(id).spec);

    public long now = 1_000_000;

    /** The features with which controllers are started from now on. */
    Features features = Features.NONE;

    /** Controllers that run a version without optional features, whatever {@link #features} says. */
    final Set<String> controllersWithoutFeatures = new TreeSet<>();

    /**
     * Controllers that exchange peer messages in the format of the first version, f7fe539, which neither writes nor
     * reads the sender's knowledge of cancellations, and whose terms have one fencing token.
     */
    final Set<String> controllersWithOldMessageFormat = new TreeSet<>();

    /** The number of direct commands that reached a worker and contained at least one command for a task. */
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

    /** Creates a cluster with 5 machines per pool, the default heartbeat interval and a limit of 40 CPUs for red. */
    public SimulatedCluster(long seed) {
        this(seed, 5, HEARTBEAT_INTERVAL_S, 40);
    }

    /**
     * Creates a cluster.
     *
     * @param machinesPerPool machines available in each of the two zones, as spot instances and on demand each
     * @param heartbeatIntervalS the heartbeat interval of the workers, in seconds; their lease is five times as long
     * @param redMaxCpus the CPU limit of team red, or 0 if it is unlimited
     */
    public SimulatedCluster(long seed, int machinesPerPool, double heartbeatIntervalS, double redMaxCpus) {
        this(seed, machinesPerPool, heartbeatIntervalS, redMaxCpus, WRITES_PER_S);
    }

    /** Creates a cluster whose key-value store accepts {@code writesPerS} writes per second. */
    SimulatedCluster(long seed, int machinesPerPool, double heartbeatIntervalS, double redMaxCpus, double writesPerS) {
        random = new SplittableRandom(seed);
        repeatedRequests = new RepeatedRequests(this, seed);
        heartbeatIntervalMs = Math.round(heartbeatIntervalS * 1000);
        leaseMs = 5 * heartbeatIntervalMs;
        settingsTemplate = SimulatedSettings.of("n0", heartbeatIntervalS, redMaxCpus, writesPerS);
        cloud = new Cloud(
                "box",
                SimulatedMachines.CPUS,
                SimulatedMachines.MEMORY_GB,
                5,
                List.of("za", "zb"),
                machinesPerPool,
                3000,
                machines::boot,
                machines::remove);
        for (int i = 0; i < CONTROLLER_COUNT; i++) {
            Settings settings = SimulatedSettings.of("n" + i, heartbeatIntervalS, redMaxCpus, writesPerS);
            controllers.put("n" + i, new ControllerNode(this, settings));
        }
        controllers.values().forEach(controller -> after(random.nextLong(500), controller::start));
        after(TICK_INTERVAL_MS, this::tick);
    }

    /** Returns a cluster that has run for the first 3 seconds, in which a leader is elected. */
    public static SimulatedCluster started(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        cluster.runFor(LEADER_ELECTION_S);
        return cluster;
    }

    /** Returns a cluster like {@link #started(long)}, with the parameters of the constructor. */
    public static SimulatedCluster started(
            long seed, int machinesPerPool, double heartbeatIntervalS, double redMaxCpus) {
        SimulatedCluster cluster = new SimulatedCluster(seed, machinesPerPool, heartbeatIntervalS, redMaxCpus);
        cluster.runFor(LEADER_ELECTION_S);
        return cluster;
    }

    /** Runs a task after a delay in milliseconds of simulated time; a negative delay counts as 0. */
    public void after(long delayMs, Runnable task) {
        events.add(new Event(now + Math.max(0, delayMs), nextEventId++, task));
    }

    /** Runs the simulation for the given simulated time; stops early at the first violation of an invariant. */
    public void runFor(double seconds) {
        long endAt = now + Math.round(seconds * 1000);
        while (violations.isEmpty() && !events.isEmpty() && events.peek().dueAt <= endAt) {
            Event event = events.poll();
            now = event.dueAt;
            event.task.run();
        }
        now = Math.max(now, endAt);
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

    /** Submits a job at a random controller; its user retries until it gets a final response or gives up. */
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

    /** Returns the number of terms so far, if all controllers are of the present version. */
    long term() {
        long lastToken = store.value("a/term").path("term").asLong();
        return (lastToken + FencingTokens.TOKENS_PER_TERM - 1) / FencingTokens.TOKENS_PER_TERM;
    }

    /** Returns the controller that leads and has recovered all state, or null if there is none. */
    public ControllerNode leader() {
        for (ControllerNode controller : controllers.values()) {
            if (controller.up() && controller.coordinator.ready() && controller.coordinator.leads()) {
                return controller;
            }
        }
        return null;
    }
}
