package stileferry.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import stileferry.protocol.ExitReason;
import stileferry.protocol.Heartbeat.TaskPhase;
import stileferry.protocol.JobSpec;
import stileferry.protocol.WorkerCommand;

/** A stand-in for the worker on one machine, after the published protocol. Time comes from outside. */
public final class Worker {
    private static final long IMAGE_PULL_MS = 800;

    /** Sums of amounts may be off by this much. */
    private static final double ROUNDING = 1e-6;

    private final String machine;
    private final String address;
    private final String type;
    private final String zone;
    private final boolean spot;
    private final long leaseMs;
    private final Function<String, JobSpec> specs;
    private final Watcher watcher;
    private final GangSimulation gangs;
    private final Map<String, WorkerTask> tasksByAttempt = new LinkedHashMap<>();
    private long incarnation = 1;
    private long sequence;
    private long fencingToken;
    private long leaseRenewedAt;
    private long now;
    private double freeCpus;
    private double freeMemoryGb;
    private boolean faulty;
    private boolean ignoresLease;
    private long hangsUntil;
    private double reclaimNoticeS = -1;
    private boolean changed;

    /** Learns what really happens on the machine. */
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

    /**
     * A worker that begins now.
     *
     * @param specs finds the spec of a job by its id; null: unknown
     */
    public Worker(
            String machine,
            String address,
            String type,
            String zone,
            boolean spot,
            double cpus,
            double memoryGb,
            long leaseMs,
            long now,
            Function<String, JobSpec> specs,
            Watcher watcher,
            GangSimulation gangs) {
        this.machine = machine;
        this.address = address;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.freeCpus = cpus;
        this.freeMemoryGb = memoryGb;
        this.leaseMs = leaseMs;
        this.leaseRenewedAt = now;
        this.now = now;
        this.specs = specs;
        this.watcher = watcher;
        this.gangs = gangs;
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

    /** The incarnation in which the next heartbeat is sent. */
    public long incarnation() {
        return incarnation;
    }

    /** From now on every task that starts fails, or no longer does. */
    public void setFaulty(boolean value) {
        faulty = value;
    }

    /** For tests of the tests: the worker no longer minds its lease, as a broken one might. */
    public void ignoreLease() {
        ignoresLease = true;
    }

    /** The machine hangs until then: its tasks stay as they are, unless its lease expires. */
    public void hangUntil(long time) {
        hangsUntil = time;
    }

    /** The cloud will reclaim the machine. */
    public void reclaimNotice(double seconds) {
        reclaimNoticeS = seconds;
        changed = true;
    }

    /** True once after something changed that is worth a heartbeat. */
    public boolean pollChanged() {
        boolean wasChanged = changed;
        changed = false;
        return wasChanged;
    }

    /** The machine is gone with all that was on it. */
    public void destroy() {
        removeAllTasks();
    }

    private void removeAllTasks() {
        for (WorkerTask task : List.copyOf(tasksByAttempt.values())) {
            exit(task, ExitReason.STOPPED);
        }
        tasksByAttempt.clear();
    }

    /** Lets time pass: the lease may expire, images arrive, tasks complete. */
    public void tick(long time) {
        now = time;
        if (now - leaseRenewedAt > leaseMs && !ignoresLease) {
            removeAllTasks();
            incarnation++;
            leaseRenewedAt = now;
            changed = true;
        }
        for (WorkerTask task : List.copyOf(tasksByAttempt.values())) {
            if (!task.exited() && now >= hangsUntil) {
                tick(task);
            }
        }
    }

    private void tick(WorkerTask task) {
        if (task.spec().isGang() && task.started()) {
            ExitReason reason = gangs.tick(task, now);
            if (reason != null) {
                exit(task, reason);
            }
        } else if (now >= task.phaseEndsAt()) {
            endPhase(task);
        }
    }

    private void endPhase(WorkerTask task) {
        switch (task.phase()) {
            case PULLING_IMAGE -> start(task);
            case SAVING_CHECKPOINT -> exit(task, ExitReason.STOPPED);
            default -> exit(task, ExitReason.COMPLETED);
        }
    }

    private void start(WorkerTask task) {
        JobSpec spec = task.spec();
        if (spec.isGang()) {
            gangs.imagePulled(task, now);
        } else {
            long endsAt = spec.isService() ? Long.MAX_VALUE : now + Math.round(spec.estimateS() * 1000);
            task.enter(TaskPhase.RUNNING, endsAt);
        }
        watcher.started(task.taskId(), this);
        changed = true;
        if (faulty) {
            exit(task, ExitReason.FAILED);
        }
    }

    /** Something changed that is worth a heartbeat. */
    void markChanged() {
        changed = true;
    }

    /** Ends a task; it stays in the heartbeats until it is cleared. */
    void exit(WorkerTask task, ExitReason reason) {
        if (task.exited()) {
            return;
        }
        boolean started = task.started();
        task.exit(reason);
        freeCpus += task.spec().cpus();
        freeMemoryGb += task.spec().memoryGb();
        changed = true;
        if (started) {
            if (task.spec().isGang()) {
                gangs.memberExited(task, now);
            }
            watcher.ended(task.taskId(), this);
        }
    }

    /** The worker's next heartbeat. */
    public ObjectNode heartbeat() {
        return WorkerWireFormat.heartbeat(this, ++sequence, fencingToken, reclaimNoticeS, tasksByAttempt.values());
    }

    /** Takes the 200 answer to a heartbeat that was sent in this incarnation at this time. */
    public void heartbeatAnswered(JsonNode body, long sentIncarnation, long sentAt) {
        if (body == null
                || !WorkerWireFormat.hasFencingToken(body)
                || sentIncarnation != incarnation
                || WorkerWireFormat.fencingToken(body) < fencingToken) {
            return;
        }
        accept(WorkerWireFormat.fencingToken(body));
        leaseRenewedAt = Math.max(leaseRenewedAt, sentAt);
        WorkerWireFormat.commands(body).forEach(this::execute);
    }

    private void accept(long token) {
        changed |= token > fencingToken;
        fencingToken = token;
    }

    /** Carries direct commands out; the status of the answer, whose body is a heartbeat unless it is 400. */
    public int receiveCommands(JsonNode body) {
        if (!WorkerWireFormat.hasFencingToken(body) || !WorkerWireFormat.hasIncarnation(body)) {
            return 400;
        }
        if (WorkerWireFormat.fencingToken(body) < fencingToken || WorkerWireFormat.incarnation(body) != incarnation) {
            return 409;
        }
        accept(WorkerWireFormat.fencingToken(body));
        WorkerWireFormat.commands(body).forEach(this::execute);
        return 200;
    }

    private void execute(WorkerCommand command) {
        WorkerTask task = tasksByAttempt.get(command.attemptId());
        switch (command.kind()) {
            case RUN -> {
                if (task == null) {
                    run(command);
                }
            }
            case KILL -> {
                if (task != null && !task.exited()) {
                    kill(task, command.graceS());
                }
            }
            case CLEAR -> {
                if (task != null && task.exited()) {
                    tasksByAttempt.remove(command.attemptId());
                }
            }
        }
    }

    private void kill(WorkerTask task, double graceS) {
        JobSpec spec = task.spec();
        boolean saves = task.phase() == TaskPhase.RUNNING
                && spec.checkpointIntervalS() > 0
                && graceS >= spec.checkpointSaveS()
                && (!spec.isGang() || gangs.beginSave(task, now));
        if (saves) {
            task.enter(TaskPhase.SAVING_CHECKPOINT, now + Math.round(spec.checkpointSaveS() * 1000));
        } else if (task.phase() != TaskPhase.SAVING_CHECKPOINT || graceS == 0) {
            exit(task, ExitReason.STOPPED);
        }
    }

    private void run(WorkerCommand command) {
        String jobId = command.taskId().substring(0, command.taskId().indexOf('/'));
        JobSpec spec = specs.apply(jobId);
        changed = true;
        WorkerTask task = new WorkerTask(this, command.taskId(), command.attempt(), spec);
        ExitReason refusal = refusal(task);
        tasksByAttempt.put(command.attemptId(), task);
        if (refusal != null) {
            task.exit(refusal);
            return;
        }
        freeCpus -= spec.cpus();
        freeMemoryGb -= spec.memoryGb();
        task.setPhaseEndsAt(now + IMAGE_PULL_MS);
    }

    /** Why a task can't start here; null: it can. */
    private ExitReason refusal(WorkerTask task) {
        JobSpec spec = task.spec();
        if (spec == null) {
            return ExitReason.UNKNOWN_JOB;
        }
        boolean otherAttempt = tasksByAttempt.values().stream()
                .anyMatch(other -> other.taskId().equals(task.taskId()) && !other.exited());
        if (otherAttempt) {
            return ExitReason.CONFLICTING_ATTEMPT;
        }
        boolean fits = spec.cpus() <= freeCpus + ROUNDING && spec.memoryGb() <= freeMemoryGb + ROUNDING;
        return fits ? null : ExitReason.INSUFFICIENT_RESOURCES;
    }
}
