package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;
import stileferry.protocol.Environment;
import stileferry.protocol.Features;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessageCodec;
import stileferry.protocol.Settings;
import stileferry.protocol.SettingsReader;
import stileferry.standin.Cloud;
import stileferry.standin.GangSimulation;
import stileferry.standin.KeyValueStore;
import stileferry.standin.Worker;

/**
 * A simulated world around real coordinators: one clock, seeded chance, stand-ins for all outside systems, and the
 * rules checked whenever something happens that could break one.
 */
public final class World {
    static final String STATE = "10.9.0.1:1";
    public static final String CLOUD = "10.9.0.2:1";
    static final double CANCEL_S = 20;
    static final double FORGOTTEN_S = 75;
    private static final double LEFT_S = 90;
    private static final double MACHINE_CPUS = 8;
    private static final double MACHINE_GB = 32;
    private static final double REPORT_S = 2;
    private static final double WRITES_PER_S = 50;

    /** The part of the changes that the state service still takes once its limits are lowered. */
    private static final double LOWER_WRITES = 0.8;

    /** Users come back after so many seconds at most, whatever they are told. */
    private static final int LONGEST_WAIT_S = 30;

    public final SplittableRandom random;
    public final List<String> violations = new ArrayList<>();
    public final Map<String, Node> nodes = new LinkedHashMap<>();
    final Map<String, Worker> workers = new HashMap<>();
    public final Map<String, User> users = new LinkedHashMap<>();
    public final KeyValueStore state = new KeyValueStore(12, 8);
    public final Cloud cloud;
    final GangSimulation gangs = new GangSimulation(8, 3);
    private final StoredClaims stored = new StoredClaims(state, id -> users.get(id).spec);
    public long now = 1_000_000;
    boolean stateDown;
    double lostAnswers;

    final SimulatedNetwork network = new SimulatedNetwork(this);

    /** What the controllers that start from now on have turned on. */
    Features features = Features.NONE;

    /** Controllers of a version that has no features, whatever is turned on. */
    final Set<String> withoutFeatures = new TreeSet<>();

    /** Nodes that the state service answers 503. */
    final Set<String> refused = new TreeSet<>();

    final Set<String> deaf = network.deaf;
    final Set<String> alone = network.alone;

    /**
     * Nodes whose records to other controllers have the form of the first version, f7fe539, which neither writes nor
     * reads what they know of cancellations.
     */
    final Set<String> formerForm = new TreeSet<>();

    /** Nodes refuse each other's connections. */
    boolean peersRefuse;

    final Map<String, Long> slow = network.slow;

    /** What the state service's answers take longer, at most. */
    long slowStoreMs;

    /** What transactions take longer on their way to the state service, at most; so they arrive in any order. */
    long slowWritesMs;

    /** Controllers that have little processor time, with the milliseconds that each of their turns takes. */
    final Map<String, Long> turnMs = new HashMap<>();

    /** The share of transactions that get no answer and are carried out later, after newer ones. */
    double lateWrites;

    /** The share of transactions that are carried out at once, while their answers are lost. */
    double unansweredWrites;

    /** Machines whose reports reach nobody, while commands reach them. */
    final Set<String> mute = new TreeSet<>();

    /** Users ask at all nodes at once, and repeat their submission, whenever they have heard something new. */
    boolean closeLooks;

    /** Copies of reports are kept until the next leader has begun, and then reach every controller. */
    boolean copiesForNext;

    private final List<JsonNode> keptCopies = new ArrayList<>();
    private Node copiesKeptFrom;

    /** The share of reports of which a copy arrives once more, seconds to well over a lease later, anywhere. */
    double lateCopies;

    /** Told of every call to a worker, none of which is answered then; null: workers answer. */
    public LongConsumer hangingCalls;

    /** Answers the cloud's calls in its place, by their paths; null: the stand-in answers. */
    public Function<String, JsonNode> cloudCalls;

    /** Since when the troubles are over; 0: they are not. From then on every job must be answered for. */
    public long quietSince;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long eventIds;
    private final Map<String, String> taskOn = new HashMap<>();

    /** Tasks on machines, by job: with thousands of tasks they can't be counted at every beat. */
    private final Map<String, Integer> onMachines = new HashMap<>();

    private final Settings template;
    private final long reportMs;
    private final long leaseMs;
    public int starts;

    /** Direct commands that reached a worker and ask for something. */
    int commandsSent;

    int finished;
    int ended;

    private record Event(long at, long id, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event event) {
            return at != event.at ? Long.compare(at, event.at) : Long.compare(id, event.id);
        }
    }

    /** One user's job, and what its user has been told. */
    public final class User {
        public final JobSpec spec;
        public boolean accepted;
        boolean told;
        public String end;
        boolean wantsCancel;
        long cancelledAt;
        final Set<Integer> tasksDone = new TreeSet<>();

        /** Its requests that were not answered for good. */
        int refusals;

        long heardAt;
        long endAt;
        long startedAt;

        /** Since when, after all troubles, none of it is anywhere though there is room for it; 0: not so. */
        long leftSince;

        final long submittedAt = now;
        long acceptedAt;

        User(JobSpec spec) {
            this.spec = spec;
        }
    }

    /** One controller's machine, with a process that comes and goes. */
    public final class Node {
        public final Settings settings;
        Coordinator coordinator;
        public SimulatedEnvironment environment;

        Node(Settings settings) {
            this.settings = settings;
        }

        public void start() {
            environment = new SimulatedEnvironment(this);
            coordinator = new Coordinator(
                    settings,
                    withoutFeatures.contains(settings.controllerName()) ? Features.NONE : features,
                    environment);
            environment.turn(coordinator::start);
        }

        public void crash() {
            environment.dead = true;
            coordinator = null;
        }

        boolean up() {
            return coordinator != null;
        }
    }

    public World(long seed) {
        this(seed, 5, REPORT_S, 40);
    }

    /** A world with so many machines of each kind in each of two zones, and a limit for the team that has one. */
    public World(long seed, int machines, double reportS, double redMax) {
        this(seed, machines, reportS, redMax, WRITES_PER_S);
    }

    /** A world whose state service takes so many changes a second. */
    World(long seed, int machines, double reportS, double redMax, double writesPerS) {
        random = new SplittableRandom(seed);
        reportMs = Math.round(reportS * 1000);
        leaseMs = 5 * reportMs;
        template = settings("n0", reportS, redMax, writesPerS);
        cloud = new Cloud(
                "box", MACHINE_CPUS, MACHINE_GB, 5, List.of("za", "zb"), machines, 3000, this::boot, this::remove);
        for (int i = 0; i < 3; i++) {
            Node node = new Node(settings("n" + i, reportS, redMax, writesPerS));
            nodes.put("n" + i, node);
        }
        nodes.values().forEach(n -> after(random.nextLong(500), n::start));
        after(50, this::beat);
    }

    private static Settings settings(String name, double reportS, double redMax, double writesPerS) {
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < 3; i++) {
            if (!name.equals("n" + i)) {
                seeds.append(seeds.isEmpty() ? "" : ",")
                        .append("{\"host_name\":\"n")
                        .append(i)
                        .append("\",\"zone\":\"za\",\"peer_addr\":\"10.0.0.")
                        .append(i)
                        .append(":1\"}");
            }
        }
        SettingsReader.Result read = SettingsReader.read(
                """
                {"host_name":"%s","zone":"za","client_listen":"10.0.0.9:1","peer_bind":"10.0.0.9:2","seeds":[%s],
                "outside":{"cloud":"%s","state":"%s"},
                "cluster":{"zones":["za","zb"],"teams":[{"name":"red","cpus":24,"cpus_max":%s},
                {"name":"blue","cpus":16,"cpus_max":24},{"name":"free"}],"objectives":[],
                "workers":{"report_s":%s,"lease_s":%s,"cancel_s":%s,"gang_wait_s":8,"gang_peer_s":3},
                "state":{"rps":150,"write_rps":%s,"value_kb":8,"txn_ops":12,
                "next":{"write_rps":%s,"value_kb":2,"txn_ops":4}},
                "cloud":{"rps":5,"list_lag_s":3},"machine_limits":{"max_sockets":1000},"clock_off_ms":20}}
                """
                        .formatted(
                                name,
                                seeds,
                                CLOUD,
                                STATE,
                                redMax,
                                reportS,
                                5 * reportS,
                                CANCEL_S,
                                writesPerS,
                                LOWER_WRITES * writesPerS));
        if (read.settings() == null) {
            throw new IllegalStateException(read.problems().toString());
        }
        return read.settings();
    }

    // ---- time

    public void after(long ms, Runnable task) {
        events.add(new Event(now + Math.max(0, ms), eventIds++, task));
    }

    /** Plays so many seconds and stops at the first broken rule. */
    public void play(double seconds) {
        long end = now + Math.round(seconds * 1000);
        while (violations.isEmpty() && !events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.task.run();
        }
        now = Math.max(now, end);
    }

    private void beat() {
        if (!stateDown) {
            state.tick(now);
        }
        cloud.tick(now);
        for (Worker w : List.copyOf(workers.values())) {
            w.tick(now);
        }
        copiesForNext();
        gangs.jobsWithMixedAttempts().forEach(id -> violations.add("ran_twice: two attempts of " + id));
        for (User user : users.values()) {
            if (quietSince > 0
                    && user.accepted
                    && user.end == null
                    && now - Math.max(quietSince, user.heardAt) > FORGOTTEN_S * 1000) {
                violations.add("forgotten: " + user.spec.id() + " is not answered for");
            }
            checkLeft(user);
            if (user.cancelledAt > 0 && now - user.cancelledAt > CANCEL_S * 1000 && running(user) > 0) {
                for (String task : taskOn.keySet()) {
                    if (task.startsWith(user.spec.id() + "/")) {
                        violations.add("ran_cancelled: " + task);
                    }
                }
            }
        }
        after(50, this::beat);
    }

    /** Once the troubles are over no job is left waiting beside a machine that fits, with its team under its limit. */
    private void checkLeft(User user) {
        if (quietSince == 0
                || !user.accepted
                || user.end != null
                || user.wantsCancel
                || running(user) > 0
                || user.spec.gang()
                || !roomFor(user.spec)) {
            user.leftSince = 0;
        } else if (user.leftSince == 0) {
            user.leftSince = now;
        } else if (now - user.leftSince > LEFT_S * 1000) {
            violations.add("waiting: " + user.spec.id() + " beside free room");
        }
    }

    private boolean roomFor(JobSpec spec) {
        double max = template.team(spec.team()).cpusMax();
        return (max == 0 || use(spec.team()) + spec.cpus() <= max + 1e-6)
                && workers.values().stream()
                        .anyMatch(w -> (spec.allowsSpot() || !w.spot())
                                && (spec.zone() == null || spec.zone().equals(w.zone()))
                                && roomOn(w, spec));
    }

    private boolean roomOn(Worker w, JobSpec spec) {
        double cpus = MACHINE_CPUS - spec.cpus();
        double memory = MACHINE_GB - spec.memoryGb();
        for (Map.Entry<String, String> on : taskOn.entrySet()) {
            if (on.getValue().startsWith(w.machine() + "|")) {
                JobSpec there = users.get(on.getKey().substring(0, on.getKey().indexOf('/'))).spec;
                cpus -= there.cpus();
                memory -= there.memoryGb();
            }
        }
        return cpus >= -1e-6 && memory >= -1e-6;
    }

    private void copiesForNext() {
        Node leader = leader();
        if (copiesForNext && copiesKeptFrom == null) {
            copiesKeptFrom = leader;
        } else if (copiesKeptFrom != null && leader != null && leader != copiesKeptFrom) {
            keptCopies.forEach(
                    report -> nodes.values().forEach(n -> after(random.nextLong(1500), () -> copy(report, n))));
            keptCopies.clear();
            copiesKeptFrom = copiesForNext ? leader : null;
        }
    }

    // ---- the network

    /** A machine hangs: it computes nothing, hears and says nothing, and goes on later with what reached it. */
    void hang(String addr, long ms) {
        if (workers.containsKey(addr)) {
            workers.get(addr).hangUntil(now + ms);
            cut(addr, ms);
        }
    }

    void cut(String host, long ms) {
        network.cut(host, ms);
    }

    /** Cuts all machines of a zone off; the nodes are elsewhere. */
    public void cutZone(String zone, long ms) {
        workers.values().stream().filter(x -> x.zone().equals(zone)).forEach(x -> cut(x.address(), ms));
    }

    String zoneOf(String machine) {
        return workers.get("w-" + machine + ":1").zone();
    }

    /** What one controller sees of the simulated world. */
    public final class SimulatedEnvironment implements Environment {
        final Node node;
        final long shift = random.nextLong(1_000_000);
        final long clockOff = random.nextLong(-20, 21);
        boolean dead;
        String logLevel = "default";

        private long busyUntil;
        private long frozenUntil;

        SimulatedEnvironment(Node node) {
            this.node = node;
        }

        /** Carries a command out; a slow owner is busy for a while with each, and the next ones wait. */
        void turn(Runnable command) {
            long takes = turnMs.getOrDefault(node.settings.controllerName(), 0L);
            long wait = Math.max(0, busyUntil - World.this.now);
            busyUntil = World.this.now + wait + takes;
            if (wait > 0) {
                World.this.after(wait, () -> carryOut(command));
            } else {
                carryOut(command);
            }
        }

        /** The process stands still; what reaches it waits. */
        void freeze(long ms) {
            frozenUntil = World.this.now + ms;
            busyUntil = Math.max(busyUntil, frozenUntil);
        }

        private void carryOut(Runnable command) {
            if (!dead) {
                command.run();
                node.coordinator.endOfBatch();
            }
        }

        @Override
        public long now() {
            return now + shift;
        }

        @Override
        public long timeOfDay() {
            return now + clockOff;
        }

        @Override
        public RandomGenerator random() {
            return random;
        }

        @Override
        public void setLogLevel(String level) {
            logLevel = level;
        }

        @Override
        public void schedule(long delayMs, Runnable task) {
            World.this.after(delayMs, () -> turn(task));
        }

        @Override
        public void request(
                String addr, String method, String path, JsonNode body, long timeoutMs, ResponseHandler reply) {
            String me = node.settings.controllerName();
            JsonNode copy = body == null ? null : MessageCodec.decode(MessageCodec.encode(body));
            ResponseHandler mine = (status, answer) -> turn(() ->
                    reply.onResponse(status, answer == null ? null : MessageCodec.decode(MessageCodec.encode(answer))));
            if (addr.equals(STATE)) {
                network.exchange(
                        me,
                        STATE,
                        timeoutMs,
                        true,
                        r -> {
                            boolean open = path.startsWith("/watch");
                            boolean commit = path.equals("/commit");
                            if (!open && (stateDown || refused.contains(me))) {
                                r.onResponse(503, null);
                            } else if (commit && random.nextDouble() < lateWrites) {
                                World.this.after(2000 + random.nextLong(10_000), () -> {
                                    if (!stateDown) {
                                        state.request(method, path, copy, (status, body1) -> {});
                                    }
                                });
                            } else if (commit && random.nextDouble() < unansweredWrites) {
                                state.request(method, path, copy, (status, body1) -> {});
                            } else if (commit && slowWritesMs > 0) {
                                World.this.after(random.nextLong(slowWritesMs), () -> carryOut(method, path, copy, r));
                            } else {
                                carryOut(method, path, copy, r);
                            }
                        },
                        mine);
            } else if (addr.equals(CLOUD) && cloudCalls != null && path.startsWith("/hosts?")) {
                World.this.after(5, () -> mine.onResponse(200, cloudCalls.apply(path)));
            } else if (addr.equals(CLOUD)) {
                network.exchange(me, CLOUD, timeoutMs, true, r -> cloud.request(method, path, copy, r), mine);
            } else if (hangingCalls != null) {
                hangingCalls.accept(timeoutMs);
                World.this.after(timeoutMs, () -> mine.onResponse(NO_ANSWER, null));
            } else {
                Worker w = workers.get(addr);
                if (copy != null) {
                    stored.checkStarts(copy, violations);
                }
                network.exchange(
                        me,
                        addr,
                        timeoutMs,
                        w != null && network.heldUntil(me, addr) <= now,
                        r -> {
                            if (workers.get(addr) == w && path.equals("/inspect")) {
                                r.onResponse(200, w.heartbeat());
                            } else if (workers.get(addr) == w) {
                                commandsSent += copy.path("signals").isEmpty() ? 0 : 1;
                                int status = w.receiveCommands(copy);
                                r.onResponse(status, status == 400 ? null : w.heartbeat());
                            }
                        },
                        mine);
            }
        }

        private void carryOut(String method, String path, JsonNode body, ResponseHandler reply) {
            state.request(method, path, body, (status, answer) -> {
                if (path.equals("/commit")
                        && status == 400
                        && !answer.path("error").asText().equals("no such lease")) {
                    violations.add("malformed: " + body + " " + answer);
                }
                reply.onResponse(status, answer);
            });
        }

        @Override
        public void sendToPeer(Settings.Peer peer, PeerMessage record, long timeoutMs, Consumer<PeerMessage> reply) {
            String me = node.settings.controllerName();
            Node other = nodes.get(peer.name());
            PeerMessage[] answer = new PeerMessage[1];
            network.exchange(
                    me,
                    peer.name(),
                    timeoutMs,
                    !peersRefuse && other.up() && network.heldUntil(me, peer.name()) <= now,
                    r -> {
                        if (other.up()) {
                            boolean former = formerForm.contains(me) || formerForm.contains(peer.name());
                            if (unknownToOlder(record) && older(peer.name())) {
                                r.onResponse(400, null); // not a record to it
                                return;
                            }
                            other.environment.turn(
                                    () -> other.coordinator.handlePeerMessage(carried(record, former), a -> {
                                        answer[0] = carried(a, former);
                                        r.onResponse(200, null);
                                    }));
                        }
                    },
                    (status, body) -> turn(() -> reply.accept(status == 200 ? answer[0] : null)));
        }
    }

    /** Whether a controller is of a version before the views of links. */
    private boolean older(String node) {
        return formerForm.contains(node) || withoutFeatures.contains(node);
    }

    /** Whether a record is of a kind that versions before the features can't read. */
    private static boolean unknownToOlder(PeerMessage record) {
        return record instanceof PeerMessage.LinkView
                || record instanceof PeerMessage.AdmissionExchange
                || record instanceof PeerMessage.RequestBatch;
    }

    /** A record as the other side reads it, where one of the two may have the former version's form. */
    private static PeerMessage carried(PeerMessage record, boolean former) {
        PeerMessage read = PeerMessageCodec.decode(PeerMessageCodec.encode(record));
        return former && read instanceof PeerMessage.TermAnnouncement announcement
                ? new PeerMessage.TermAnnouncement(announcement.term(), announcement.leader(), announcement.leading())
                : read;
    }

    // ---- workers

    private Worker boot(String machine, String place) {
        String[] parts = place.split("\\|");
        String addr = "w-" + machine + ":1";
        Worker w = new Worker(
                machine,
                addr,
                "box",
                parts[0],
                parts[1].equals("true"),
                MACHINE_CPUS,
                MACHINE_GB,
                leaseMs,
                now,
                id -> users.containsKey(id) ? users.get(id).spec : null,
                watcher(),
                gangs);
        workers.put(addr, w);
        reportLoop(w, "n" + random.nextInt(3));
        return w;
    }

    private void remove(Worker w) {
        workers.remove(w.address());
        w.destroy();
    }

    private void reportLoop(Worker w, String to) {
        if (workers.get(w.address()) != w) {
            return;
        }
        long sentAt = now;
        long session = w.incarnation();
        w.pollChanged();
        JsonNode report = MessageCodec.decode(MessageCodec.encode(w.heartbeat()));
        if (copiesKeptFrom != null && random.nextInt(4) == 0) {
            keptCopies.add(report);
        }
        if (random.nextDouble() < lateCopies) {
            Node any = nodes.get("n" + random.nextInt(3));
            after(1000 + random.nextLong(3 * leaseMs), () -> copy(report, any));
        }
        Node node = nodes.get(to);
        network.exchange(
                w.address(),
                to,
                4000,
                node.up() && !mute.contains(w.address()) && network.heldUntil(w.address(), to) <= now,
                r -> {
                    if (node.up()) {
                        node.environment.turn(
                                () -> node.coordinator.handleHeartbeat(MessageCodec.encode(report), (status, bytes) -> {
                                    JsonNode answer = MessageCodec.decode(bytes);
                                    stored.checkStarts(answer, violations);
                                    r.onResponse(status, answer);
                                }));
                    }
                },
                (status, body) -> {
                    if (workers.get(w.address()) != w) {
                        return;
                    }
                    if (status == 200) {
                        w.heartbeatAnswered(MessageCodec.decode(MessageCodec.encode(body)), session, sentAt);
                        waitForReport(w, to, now + reportMs * 3 / 4 + random.nextLong(reportMs / 2), now + 500);
                    } else if (status == 421
                            && nodes.containsKey(body.path("harbormaster").asText())) {
                        after(
                                random.nextLong(500),
                                () -> reportLoop(w, body.path("harbormaster").asText()));
                    } else {
                        String next = "n" + (Integer.parseInt(to.substring(1)) + 1) % 3;
                        after(1000, () -> reportLoop(w, next));
                    }
                });
    }

    /** A copy of a report; nobody waits for its answer. */
    void copy(JsonNode report, Node to) {
        if (to.up()) {
            to.environment.turn(
                    () -> to.coordinator.handleHeartbeat(MessageCodec.encode(report), (status, body) -> {}));
        }
    }

    private void waitForReport(Worker w, String to, long latest, long earliest) {
        if (now >= latest || now >= earliest && w.pollChanged()) {
            reportLoop(w, to);
        } else {
            after(100, () -> waitForReport(w, to, latest, earliest));
        }
    }

    // ---- the rules about tasks

    private Worker.Watcher watcher() {
        return new Worker.Watcher() {
            @Override
            public void started(String task, Worker w) {
                starts++;
                User user = users.get(task.substring(0, task.indexOf('/')));
                user.startedAt = user.startedAt == 0 ? now : user.startedAt;
                if (taskOn.containsKey(task)) {
                    violations.add("ran_twice: " + task + " on " + taskOn.get(task) + " and " + w.machine());
                }
                checkPlace(user.spec, task, w);
                if (user.cancelledAt > 0) {
                    violations.add("ran_cancelled: " + task + " began " + (now - user.cancelledAt) + " ms after");
                }
                if (taskOn.put(task, w.machine() + "|" + w.zone()) == null) {
                    onMachines.merge(user.spec.id(), 1, Integer::sum);
                }
                checkLimit(user.spec.team());
            }

            @Override
            public void ended(String task, Worker w) {
                if (taskOn.remove(task, w.machine() + "|" + w.zone())) {
                    onMachines.merge(task.substring(0, task.indexOf('/')), -1, Integer::sum);
                }
                ended++;
            }
        };
    }

    private void checkPlace(JobSpec spec, String task, Worker w) {
        if (w.spot() && !spec.allowsSpot()
                || spec.zone() != null && !spec.zone().equals(w.zone())) {
            violations.add("wrong_place: " + task + " on " + w.machine());
        }
        long inZone = 1;
        for (Map.Entry<String, String> entry : taskOn.entrySet()) {
            if (entry.getKey().startsWith(spec.id() + "/")) {
                boolean same = entry.getValue().endsWith("|" + w.zone());
                inZone += same ? 1 : 0;
                if (spec.oneZone() && !same) {
                    violations.add("wrong_place: " + task + " away from its zone");
                }
            }
        }
        if (spec.spreadAcrossZones() && inZone > (spec.taskCount() + 1) / 2) {
            violations.add("wrong_place: " + task + " with too many in " + w.zone());
        }
    }

    private double use(String team) {
        double sum = 0;
        for (String task : taskOn.keySet()) {
            JobSpec spec = users.get(task.substring(0, task.indexOf('/'))).spec;
            sum += spec.team().equals(team) ? spec.cpus() : 0;
        }
        return sum;
    }

    private void checkLimit(String name) {
        Settings.Team team = template.team(name);
        double sum = use(name);
        if (team.cpusMax() > 0 && sum > team.cpusMax() + 1e-6) {
            violations.add("quota: " + name + " uses " + sum);
        }
    }

    // ---- users

    public User submit(JobSpec spec) {
        User user = new User(spec);
        users.put(spec.id(), user);
        ask(user, PeerMessage.RequestKind.SUBMIT, now + 60_000);
        return user;
    }

    /** Submits a job once more, at one controller. */
    void submitAt(User user, Node node) {
        ask(user, PeerMessage.RequestKind.SUBMIT, 0, node);
    }

    void cancel(User user) {
        user.wantsCancel = true;
        ask(user, PeerMessage.RequestKind.CANCEL, now + 60_000);
    }

    /** Asks any node and repeats until there is an answer. */
    private void ask(User user, PeerMessage.RequestKind ask, long until) {
        ask(user, ask, until, nodes.get("n" + random.nextInt(3)));
    }

    private void lookClosely(User user) {
        if (closeLooks) {
            nodes.values()
                    .forEach(n -> after(random.nextLong(8), () -> ask(user, PeerMessage.RequestKind.STATUS, 0, n)));
            nodes.values()
                    .forEach(n -> after(random.nextLong(8), () -> ask(user, PeerMessage.RequestKind.SUBMIT, 0, n)));
            if (user.wantsCancel || random.nextInt(10) == 0) {
                after(random.nextLong(8), () -> cancel(user));
            }
        }
    }

    private void ask(User user, PeerMessage.RequestKind ask, long until, Node node) {
        byte[] body = ask == PeerMessage.RequestKind.SUBMIT ? MessageCodec.encode(user.spec.write()) : new byte[0];
        PeerMessage.Response[] answer = new PeerMessage.Response[1];
        long asked = now;
        network.exchange(
                "user",
                node.settings.controllerName(),
                5000,
                node.up(),
                r -> {
                    if (node.up()) {
                        long arrived = now;
                        SimulatedEnvironment process = node.environment;
                        node.environment.turn(
                                () -> node.coordinator.handleUserRequest(ask, user.spec.id(), body, response -> {
                                    long since = Math.max(arrived, process.frozenUntil); // it stood still until then
                                    if (response.status() == 503
                                            && (response.retryAfterS() < 1 || now - since > 4500)) {
                                        violations.add("held back: " + ask + " for " + (now - since)
                                                + " ms, come back in " + response.retryAfterS() + " s");
                                    }
                                    answer[0] = response;
                                    r.onResponse(response.status(), null);
                                }));
                    }
                },
                (status, none) -> {
                    boolean isFinal = status == 200 || status == 201 || status == 404 || status == 400 || status == 422;
                    if (isFinal) {
                        told(user, ask, asked, status, MessageCodec.decode(answer[0].body()));
                    } else if (now < until) {
                        user.refusals++;
                        int told = answer[0] == null ? 1 : answer[0].retryAfterS();
                        after(1000L * Math.max(1, Math.min(LONGEST_WAIT_S, told)), () -> ask(user, ask, until));
                    }
                });
    }

    void told(User user, PeerMessage.RequestKind ask, long asked, int status, JsonNode body) {
        String id = user.spec.id();
        user.heardAt = now;
        if (status == 404 || status == 400 || status == 422) {
            if (user.accepted) {
                violations.add("forgotten: " + id + " is answered " + status + " to " + ask);
            }
            return;
        }
        String tide = body.path("tide").asText();
        if (user.end != null && !user.end.equals(tide) && asked < user.endAt) {
            return; // asked before the end was told, and answered for that moment, but slow to arrive
        }
        if (user.end != null && !user.end.equals(tide)) {
            violations.add("went_back: " + id + " was " + user.end + " and is " + tide);
        }
        if (tide.equals("cancelled") && !user.wantsCancel) {
            violations.add("went_back: " + id + " is cancelled by nobody");
        }
        if (tide.equals("done") && body.path("done").asInt() != user.spec.taskCount()) {
            violations.add("not_done: " + id + " with " + body.path("done"));
        }
        if (tide.equals("cancelled") && user.cancelledAt == 0) {
            user.cancelledAt = now;
        }
        if (tide.equals("done") || tide.equals("cancelled")) {
            if (user.end == null) {
                finished++;
                user.endAt = now;
            }
            boolean news = user.end == null;
            user.end = tide;
            if (news) {
                lookClosely(user);
            }
        }
        if (ask == PeerMessage.RequestKind.SUBMIT && !user.accepted) {
            user.accepted = true;
            user.acceptedAt = now;
            poll(user);
            lookClosely(user);
        }
    }

    private void poll(User user) {
        ask(user, PeerMessage.RequestKind.STATUS, 0);
        after(user.end == null ? 3000 : 15_000, () -> poll(user));
    }

    /** The machines that have a task of this job. */
    Set<String> machinesOf(User user) {
        Set<String> names = new TreeSet<>();
        taskOn.forEach((task, on) -> {
            if (task.startsWith(user.spec.id() + "/")) {
                names.add(on.substring(0, on.indexOf('|')));
            }
        });
        return names;
    }

    /** Tasks of this job that are on machines. */
    public long running(User user) {
        return onMachines.getOrDefault(user.spec.id(), 0);
    }

    /** Tasks that are on one machine now. */
    long runningOn(String machine) {
        return taskOn.values().stream()
                .filter(on -> on.startsWith(machine + "|"))
                .count();
    }

    /** Tasks that are on machines now. */
    int running() {
        return taskOn.size();
    }

    /** A machine with a task on it. */
    String machineInUse() {
        String on = new java.util.TreeMap<>(taskOn).firstEntry().getValue();
        return on.substring(0, on.indexOf('|'));
    }

    public Node leader() {
        for (Node node : nodes.values()) {
            if (node.up() && node.coordinator.ready() && node.coordinator.leads()) {
                return node;
            }
        }
        return null;
    }
}
