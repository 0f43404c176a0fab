package stileferry.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import stileferry.protocol.ExitReason;
import stileferry.protocol.Heartbeat.TaskPhase;
import stileferry.protocol.JobSpec;
import stileferry.protocol.WorkerCommand;

/** Stand-in for the worker on one machine; implements the published protocol. The caller passes in the time. */
public final class Worker {
    private static final long IMAGE_PULL_MS = 800;

    /** Tolerance for rounding errors in sums of CPUs and of gigabytes. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final String machine;
    private final String address;
    private final String machineType;
    private final String zone;
    private final boolean spot;
    private final long leaseMs;
    private final Function<String, JobSpec> jobSpecs;
    private final TaskListener taskListener;
    private final GangSimulation gangs;
    private final Map<String, WorkerTask> tasksByAttempt = new LinkedHashMap<>();
    private final Set<String> clearedAttempts = new HashSet<>();
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
    private boolean heartbeatDue;

    /** Is notified when tasks start and end on a machine, regardless of what its heartbeats report. */
    public interface TaskListener {
        /** Ignores all tasks. */
        TaskListener NO_OP = new TaskListener() {
            @Override
            public void taskStarted(String task, Worker worker) {}

            @Override
            public void taskEnded(String task, Worker worker) {}
        };

        /** Called when the image of a task has been pulled and the task starts on the machine. */
        void taskStarted(String task, Worker worker);

        /** Called when a task that had started is no longer on the machine. */
        void taskEnded(String task, Worker worker);

        /** Called when the worker carries out the start of an attempt that a command had cleared before. */
        default void clearedAttemptStarted(String attemptId, Worker worker) {}
    }

    /**
     * Creates a worker that starts now, without tasks.
     *
     * @param leaseMs duration of the worker's lease, which begins now
     * @param jobSpecs returns the spec of a job by its id, or null if the job is unknown
     */
    public Worker(
            String machine,
            String address,
            String machineType,
            String zone,
            boolean spot,
            double cpus,
            double memoryGb,
            long leaseMs,
            long now,
            Function<String, JobSpec> jobSpecs,
            TaskListener taskListener,
            GangSimulation gangs) {
        this.machine = machine;
        this.address = address;
        this.machineType = machineType;
        this.zone = zone;
        this.spot = spot;
        this.freeCpus = cpus;
        this.freeMemoryGb = memoryGb;
        this.leaseMs = leaseMs;
        this.leaseRenewedAt = now;
        this.now = now;
        this.jobSpecs = jobSpecs;
        this.taskListener = taskListener;
        this.gangs = gangs;
    }

    public String machine() {
        return machine;
    }

    public String address() {
        return address;
    }

    public String machineType() {
        return machineType;
    }

    public String zone() {
        return zone;
    }

    public boolean spot() {
        return spot;
    }

    /** Returns the current incarnation, which the next heartbeat reports. */
    public long incarnation() {
        return incarnation;
    }

    /** Sets whether every task that starts from now on fails. */
    public void setFaulty(boolean value) {
        faulty = value;
    }

    /** Makes the worker ignore the end of its lease, as a defective one might; for tests of the invariant checks. */
    public void ignoreLeaseExpiry() {
        ignoresLease = true;
    }

    /** Suspends the tasks of the machine until a given time; its lease still expires meanwhile. */
    public void hangUntil(long time) {
        hangsUntil = time;
    }

    /** Makes the heartbeats report that the cloud will reclaim the machine, with a notice of this many seconds. */
    public void setReclaimNoticeS(double seconds) {
        reclaimNoticeS = seconds;
        heartbeatDue = true;
    }

    /** Returns whether something changed since the last call that calls for a heartbeat before the next regular one. */
    public boolean pollHeartbeatDue() {
        boolean wasDue = heartbeatDue;
        heartbeatDue = false;
        return wasDue;
    }

    /** Ends all tasks, as the machine is gone. */
    public void destroy() {
        removeAllTasks();
    }

    private void removeAllTasks() {
        for (WorkerTask task : List.copyOf(tasksByAttempt.values())) {
            exit(task, ExitReason.STOPPED);
        }
        tasksByAttempt.clear();
    }

    /** Advances the time: the lease may expire, image pulls end, tasks complete. */
    public void tick(long time) {
        now = time;
        if (now - leaseRenewedAt > leaseMs && !ignoresLease) {
            removeAllTasks();
            incarnation++;
            leaseRenewedAt = now;
            heartbeatDue = true;
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
            completePhase(task);
        }
    }

    private void completePhase(WorkerTask task) {
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
        taskListener.taskStarted(task.taskId(), this);
        heartbeatDue = true;
        if (faulty) {
            exit(task, ExitReason.FAILED);
        }
    }

    /** Records a change that requires a heartbeat before the next regular one. */
    void markHeartbeatDue() {
        heartbeatDue = true;
    }

    /** Ends a task; the heartbeats report it until a command clears it. */
    void exit(WorkerTask task, ExitReason reason) {
        if (task.exited()) {
            return;
        }
        boolean wasStarted = task.started();
        task.exit(reason);
        freeCpus += task.spec().cpus();
        freeMemoryGb += task.spec().memoryGb();
        heartbeatDue = true;
        if (wasStarted) {
            if (task.spec().isGang()) {
                gangs.memberExited(task, now);
            }
            taskListener.taskEnded(task.taskId(), this);
        }
    }

    /** Creates the next heartbeat, with the next sequence number. */
    public ObjectNode heartbeat() {
        return WorkerWireFormat.heartbeat(this, ++sequence, fencingToken, reclaimNoticeS, tasksByAttempt.values());
    }

    /**
     * Handles a response with status 200 to a heartbeat.
     *
     * @param sentIncarnation the incarnation in which the heartbeat was sent
     * @param sentAt when the heartbeat was sent
     */
    public void handleHeartbeatResponse(JsonNode body, long sentIncarnation, long sentAt) {
        if (body == null
                || !WorkerWireFormat.hasFencingToken(body)
                || sentIncarnation != incarnation
                || WorkerWireFormat.fencingToken(body) < fencingToken) {
            return;
        }
        acceptFencingToken(WorkerWireFormat.fencingToken(body));
        leaseRenewedAt = Math.max(leaseRenewedAt, sentAt);
        WorkerWireFormat.commands(body).forEach(this::execute);
    }

    private void acceptFencingToken(long token) {
        heartbeatDue |= token > fencingToken;
        fencingToken = token;
    }

    /**
     * Executes direct commands.
     *
     * @return the HTTP status of the response, whose body is a heartbeat unless the status is 400
     */
    public int handleCommands(JsonNode body) {
        if (!WorkerWireFormat.hasFencingToken(body) || !WorkerWireFormat.hasIncarnation(body)) {
            return 400;
        }
        if (WorkerWireFormat.fencingToken(body) < fencingToken || WorkerWireFormat.incarnation(body) != incarnation) {
            return 409;
        }
        acceptFencingToken(WorkerWireFormat.fencingToken(body));
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
                    clearedAttempts.add(command.attemptId());
                }
            }
        }
    }

    private void kill(WorkerTask task, double graceS) {
        JobSpec spec = task.spec();
        boolean savesCheckpoint = task.phase() == TaskPhase.RUNNING
                && spec.checkpointIntervalS() > 0
                && graceS >= spec.checkpointSaveS()
                && (!spec.isGang() || gangs.tryBeginSave(task, now));
        if (savesCheckpoint) {
            task.enter(TaskPhase.SAVING_CHECKPOINT, now + Math.round(spec.checkpointSaveS() * 1000));
        } else if (task.phase() != TaskPhase.SAVING_CHECKPOINT || graceS == 0) {
            exit(task, ExitReason.STOPPED);
        }
    }

    private void run(WorkerCommand command) {
        String jobId = command.taskId().substring(0, command.taskId().indexOf('/'));
        JobSpec spec = jobSpecs.apply(jobId);
        heartbeatDue = true;
        if (clearedAttempts.contains(command.attemptId())) {
            taskListener.clearedAttemptStarted(command.attemptId(), this);
        }
        WorkerTask task = new WorkerTask(this, command.taskId(), command.attempt(), spec);
        ExitReason rejection = startRejection(task);
        tasksByAttempt.put(command.attemptId(), task);
        if (rejection != null) {
            task.exit(rejection);
            return;
        }
        freeCpus -= spec.cpus();
        freeMemoryGb -= spec.memoryGb();
        task.setPhaseEndsAt(now + IMAGE_PULL_MS);
    }

    /** Returns why a task can't start here, or null if it can. */
    private ExitReason startRejection(WorkerTask task) {
        JobSpec spec = task.spec();
        if (spec == null) {
            return ExitReason.UNKNOWN_JOB;
        }
        boolean otherAttempt = tasksByAttempt.values().stream()
                .anyMatch(other -> other.taskId().equals(task.taskId()) && !other.exited());
        if (otherAttempt) {
            return ExitReason.CONFLICTING_ATTEMPT;
        }
        boolean fits =
                spec.cpus() <= freeCpus + ROUNDING_TOLERANCE && spec.memoryGb() <= freeMemoryGb + ROUNDING_TOLERANCE;
        return fits ? null : ExitReason.INSUFFICIENT_RESOURCES;
    }
}
