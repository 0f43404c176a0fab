package stileferry.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;

/** A stand-in for the worker on one machine, after the published protocol. Time comes from outside. */
public final class Worker {
    private static final long FETCH_MS = 800;

    private final String machine;
    private final String address;
    private final String type;
    private final String zone;
    private final boolean spot;
    private final long leaseMs;
    private final Function<String, JobSpec> directory;
    private final Watcher watcher;
    private final GangSimulation gangs;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private long incarnation = 1;
    private long seq;
    private long token;
    private long leaseFrom;
    private long now;
    private double cpusFree;
    private double memoryFree;
    private boolean setFaulty;
    private boolean immortal;
    private long hangsUntil;
    private double noticeS = -1;
    private boolean changed;

    /** Told what really happens on the machine. */
    public interface Watcher {
        /** Watches nothing. */
        Watcher NOBODY = new Watcher() {
            @Override
            public void started(String task, Worker worker) {}

            @Override
            public void ended(String task, Worker worker) {}
        };

        /** A task has its image and is on the machine from now on. */
        void started(String task, Worker worker);

        /** A task is not on the machine any more. */
        void ended(String task, Worker worker);
    }

    /** One start of a task on this machine. */
    static final class Task {
        final Worker worker;
        final String name;
        final long attempt;
        final JobSpec spec;
        String state = "pulling";
        String why = "";
        boolean kept;
        long until;

        Task(Worker worker, String name, long attempt, JobSpec spec) {
            this.worker = worker;
            this.name = name;
            this.attempt = attempt;
            this.spec = spec;
        }

        boolean there() {
            return state.equals("running") || state.equals("saving") || state.equals("waiting");
        }
    }

    /** A worker that begins now. */
    public Worker(
            String machine,
            String addr,
            String type,
            String zone,
            boolean spot,
            double cpus,
            double memoryGb,
            long leaseMs,
            long now,
            Function<String, JobSpec> directory,
            Watcher watcher,
            GangSimulation gangs) {
        this.gangs = gangs;
        this.machine = machine;
        this.address = addr;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.cpusFree = cpus;
        this.memoryFree = memoryGb;
        this.leaseMs = leaseMs;
        this.leaseFrom = now;
        this.now = now;
        this.directory = directory;
        this.watcher = watcher;
    }

    public String machine() {
        return machine;
    }

    public String address() {
        return address;
    }

    public String type() {
        return type;
    }

    public String zone() {
        return zone;
    }

    public boolean spot() {
        return spot;
    }

    /** From now on every task that starts fails, or no longer does. */
    public void setFaulty(boolean value) {
        setFaulty = value;
    }

    /** For tests of the tests: the worker no longer minds its lease, as a broken one might. */
    public void ignoreLease() {
        immortal = true;
    }

    /** The machine hangs until then: its tasks stay as they are, unless its lease ends. */
    public void hangUntil(long until) {
        hangsUntil = until;
    }

    /** The cloud will take the machine. */
    public void reclaimNotice(double seconds) {
        noticeS = seconds;
        changed = true;
    }

    /** True once after something changed that is worth a report. */
    public boolean pollChanged() {
        boolean was = changed;
        changed = false;
        return was;
    }

    /** The machine is gone with all that was on it. */
    public void destroy() {
        forgetAll();
    }

    private void forgetAll() {
        for (Task task : List.copyOf(tasks.values())) {
            exit(task, "halted");
        }
        tasks.clear();
    }

    /** Lets time pass: the lease may end, images arrive, tasks complete. */
    public void tick(long time) {
        now = time;
        if (now - leaseFrom > leaseMs && !immortal) {
            forgetAll();
            incarnation++;
            leaseFrom = now;
            changed = true;
        }
        for (Task task : List.copyOf(tasks.values())) {
            boolean inGang = task.spec != null && task.spec.gang() && task.there();
            if (task.state.equals("exited") || now < task.until && !inGang || now < hangsUntil) {
                continue;
            }
            if (inGang) {
                String why = gangs.tick(task, now);
                if (why != null) {
                    exit(task, why);
                }
            } else if (task.state.equals("pulling")) {
                task.state = "running";
                task.until = task.spec.service() ? Long.MAX_VALUE : now + Math.round(task.spec.estimateS() * 1000);
                if (task.spec.gang()) {
                    gangs.ready(task, now);
                }
                watcher.started(task.name, this);
                changed = true;
                if (setFaulty) {
                    exit(task, "error");
                }
            } else {
                exit(task, task.state.equals("saving") ? "halted" : "done");
            }
        }
    }

    void changed() {
        changed = true;
    }

    void exit(Task task, String why) {
        if (task.state.equals("exited")) {
            return;
        }
        boolean there = task.there();
        task.state = "exited";
        task.why = why;
        cpusFree += task.spec.cpus();
        memoryFree += task.spec.memoryGb();
        changed = true;
        if (there) {
            if (task.spec.gang()) {
                gangs.gone(task, why, now);
            }
            watcher.ended(task.name, this);
        }
    }

    /** The worker's report, as it stands. */
    public ObjectNode heartbeat() {
        ObjectNode n = MessageCodec.map()
                .put("vessel", machine)
                .put("addr", address)
                .put("hull", type)
                .put("harbor", zone)
                .put("tender", spot)
                .put("voyage", incarnation)
                .put("log_seq", ++seq)
                .put("helm", token);
        if (noticeS >= 0) {
            n.put("recall_s", noticeS);
        } else {
            n.putNull("recall_s");
        }
        ArrayNode list = n.putArray("passengers");
        for (Task task : tasks.values()) {
            ObjectNode o = list.addObject()
                    .put("passenger", task.name)
                    .put("launch", task.attempt)
                    .put("tide", task.state);
            if (task.state.equals("exited")) {
                o.put("landing_cause", task.why);
                if (task.kept) {
                    o.put("kept", true);
                }
            }
        }
        return n;
    }

    /** The session in which the next report is sent. */
    public long incarnation() {
        return incarnation;
    }

    /** Takes the 200 answer to a report that was sent in this session at this time. */
    public void heartbeatAnswered(JsonNode body, long sentSession, long sentAt) {
        if (body == null
                || !body.path("helm").isIntegralNumber()
                || sentSession != incarnation
                || body.path("helm").asLong() < token) {
            return;
        }
        accept(body.path("helm").asLong());
        leaseFrom = Math.max(leaseFrom, sentAt);
        execute(body.path("signals"));
    }

    private void accept(long seen) {
        changed |= seen > token;
        token = seen;
    }

    /** Carries direct commands out; the status of the answer, whose body is the report. */
    public int receiveCommands(JsonNode body) {
        if (!body.path("helm").isIntegralNumber() || !body.path("voyage").isIntegralNumber()) {
            return 400;
        }
        if (body.path("helm").asLong() < token || body.path("voyage").asLong() != incarnation) {
            return 409;
        }
        accept(body.path("helm").asLong());
        execute(body.path("signals"));
        return 200;
    }

    private void execute(JsonNode signals) {
        for (JsonNode s : signals) {
            String name = s.path("passenger").asText();
            long attempt = s.path("launch").asLong();
            String key = name + "#" + attempt;
            Task task = tasks.get(key);
            switch (s.path("signal").asText()) {
                case "run" -> {
                    if (task == null) {
                        run(name, attempt, key);
                    }
                }
                case "kill" -> {
                    if (task != null && !task.state.equals("exited")) {
                        kill(task, s.path("ashore_s").asDouble());
                    }
                }
                case "clear" -> {
                    if (task != null && task.state.equals("exited")) {
                        tasks.remove(key);
                    }
                }
                default -> {}
            }
        }
    }

    private void kill(Task task, double graceS) {
        boolean saves = task.state.equals("running")
                && task.spec.checkpointIntervalS() > 0
                && graceS >= task.spec.checkpointSaveS()
                && (!task.spec.gang() || gangs.save(task, now));
        if (saves) {
            task.state = "saving";
            task.until = now + Math.round(task.spec.checkpointSaveS() * 1000);
        } else if (!task.state.equals("saving") || graceS == 0) {
            exit(task, "halted");
        }
    }

    private void run(String name, long attempt, String key) {
        JobSpec spec = directory.apply(name.substring(0, name.indexOf('/')));
        changed = true;
        Task task = new Task(this, name, attempt, spec);
        tasks.put(key, task);
        boolean busy =
                tasks.values().stream().anyMatch(o -> o != task && o.name.equals(name) && !o.state.equals("exited"));
        if (spec == null || busy || spec.cpus() > cpusFree + 1e-6 || spec.memoryGb() > memoryFree + 1e-6) {
            task.state = "exited";
            task.why = spec == null ? "unknown" : busy ? "busy" : "full";
            return;
        }
        cpusFree -= spec.cpus();
        memoryFree -= spec.memoryGb();
        task.until = now + FETCH_MS;
    }
}
