package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import stileferry.cluster.InvariantMonitor;
import stileferry.protocol.JobSpec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.standin.Worker;

/**
 * Checks the invariants of the scheduler whenever something happens that could violate one. The text of each violation
 * begins with the name of the invariant:
 *
 * <ul>
 *   <li>ran_twice: two attempts of a task, or of a gang, run at the same time
 *   <li>started_again: a machine carries out the start of an attempt that it was told to forget
 *   <li>ran_cancelled: a task starts after its cancellation was confirmed, or runs for longer than cancel_s after it
 *   <li>wrong_place: a task runs in a zone or on a spot instance that its job does not allow
 *   <li>quota: a team uses more CPUs than its limit
 *   <li>forgotten: an accepted job is unknown or invalid to a controller, or its user no longer gets responses
 *   <li>went_back, not_done: the state in a response contradicts an earlier response, or the tasks that are done
 *   <li>waiting: a job has no running task long after the last fault, although a machine has capacity for one
 *   <li>asserted: a controller's own check of an invariant has failed
 *   <li>late_503: a 503 response is late, or has no retry time
 * </ul>
 */
final class InvariantChecks {
    private static final double MAX_UNANSWERED_S = 75;
    private static final double MAX_UNSCHEDULED_S = 90;

    /** A user must get a 503 response within this time. */
    private static final long MAX_503_LATENCY_MS = 4500;

    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final SimulatedCluster cluster;
    private final List<String> violations;

    InvariantChecks(SimulatedCluster cluster) {
        this.cluster = cluster;
        this.violations = cluster.violations;
    }

    /** Checks the invariants that can be violated merely because time passes; called at every tick. */
    void tick() {
        cluster.gangs
                .jobsWithConcurrentAttempts()
                .forEach(jobId -> violations.add("ran_twice: two attempts of " + jobId));
        for (SimulatedUser user : cluster.users.values()) {
            checkNotForgotten(user);
            checkScheduled(user);
            checkCancelledTasksEnd(user);
        }
        cluster.controllers.values().stream().filter(ControllerNode::up).forEach(this::checkRunTimeChecks);
    }

    private void checkRunTimeChecks(ControllerNode controller) {
        for (InvariantMonitor.Invariant invariant : InvariantMonitor.Invariant.values()) {
            if (controller.coordinator.invariants().count(invariant) > 0) {
                violations.add("asserted: " + controller.name() + " " + invariant);
            }
        }
    }

    private void checkNotForgotten(SimulatedUser user) {
        long endedAt = cluster.faults.endedAt;
        if (endedAt > 0
                && user.accepted
                && user.endState == null
                && cluster.now - Math.max(endedAt, user.lastResponseAt) > MAX_UNANSWERED_S * 1000) {
            violations.add("forgotten: " + user.spec.id() + " gets no responses");
        }
    }

    private void checkCancelledTasksEnd(SimulatedUser user) {
        if (user.cancelConfirmedAt > 0
                && cluster.now - user.cancelConfirmedAt > SimulatedCluster.CANCEL_S * 1000
                && cluster.tasks.running(user) > 0) {
            for (String task : cluster.tasks.placements().keySet()) {
                if (task.startsWith(user.spec.id() + "/")) {
                    violations.add("ran_cancelled: " + task);
                }
            }
        }
    }

    /**
     * Checks that after the last fault no job, except gangs, waits long for its first task while a machine has capacity
     * and its team is under its limit.
     */
    private void checkScheduled(SimulatedUser user) {
        if (cluster.faults.endedAt == 0
                || !user.accepted
                || user.endState != null
                || user.cancelRequested
                || cluster.tasks.running(user) > 0
                || user.spec.isGang()
                || !hasCapacityFor(user.spec)) {
            user.unscheduledSince = 0;
        } else if (user.unscheduledSince == 0) {
            user.unscheduledSince = cluster.now;
        } else if (cluster.now - user.unscheduledSince > MAX_UNSCHEDULED_S * 1000) {
            violations.add("waiting: " + user.spec.id() + " although there is capacity");
        }
    }

    private boolean hasCapacityFor(JobSpec spec) {
        double max = cluster.team(spec.team()).maxCpus();
        return (max == 0 || cluster.tasks.cpusInUse(spec.team()) + spec.cpus() <= max + ROUNDING_TOLERANCE)
                && cluster.workers.values().stream()
                        .anyMatch(worker -> (spec.allowsSpot() || !worker.spot())
                                && (spec.zone() == null || spec.zone().equals(worker.zone()))
                                && fitsOn(worker, spec));
    }

    private boolean fitsOn(Worker worker, JobSpec spec) {
        double cpus = SimulatedMachines.CPUS - spec.cpus();
        double memory = SimulatedMachines.MEMORY_GB - spec.memoryGb();
        for (Map.Entry<String, String> running : cluster.tasks.placements().entrySet()) {
            if (running.getValue().startsWith(worker.machine() + "|")) {
                JobSpec runningSpec = cluster.users.get(RunningTasks.jobIdOf(running.getKey())).spec;
                cpus -= runningSpec.cpus();
                memory -= runningSpec.memoryGb();
            }
        }
        return cpus >= -ROUNDING_TOLERANCE && memory >= -ROUNDING_TOLERANCE;
    }

    /** Checks a task that starts, before it is recorded as running. */
    void checkStart(SimulatedUser user, String task, Worker worker) {
        String place = cluster.tasks.placements().get(task);
        if (place != null) {
            violations.add("ran_twice: " + task + " on " + place + " and " + worker.machine());
        }
        checkPlacement(user.spec, task, worker);
        if (user.cancelConfirmedAt > 0) {
            violations.add("ran_cancelled: " + task + " started " + (cluster.now - user.cancelConfirmedAt)
                    + " ms after its cancellation was confirmed");
        }
    }

    private void checkPlacement(JobSpec spec, String task, Worker worker) {
        if (worker.spot() && !spec.allowsSpot()
                || spec.zone() != null && !spec.zone().equals(worker.zone())) {
            violations.add("wrong_place: " + task + " on " + worker.machine());
        }
        long inZone = 1;
        for (Map.Entry<String, String> entry : cluster.tasks.placements().entrySet()) {
            if (entry.getKey().startsWith(spec.id() + "/")) {
                boolean sameZone = entry.getValue().endsWith("|" + worker.zone());
                inZone += sameZone ? 1 : 0;
                if (spec.oneZone() && !sameZone) {
                    violations.add("wrong_place: " + task + " outside the zone of the job's other tasks");
                }
            }
        }
        if (spec.spreadAcrossZones() && inZone > (spec.taskCount() + 1) / 2) {
            violations.add("wrong_place: " + task + " is one task too many in " + worker.zone());
        }
    }

    /** Checks that the running tasks of a team don't exceed its CPU limit. */
    void checkQuota(String teamName) {
        Settings.Team team = cluster.team(teamName);
        double cpusInUse = cluster.tasks.cpusInUse(teamName);
        if (team.maxCpus() > 0 && cpusInUse > team.maxCpus() + ROUNDING_TOLERANCE) {
            violations.add("quota: " + teamName + " uses this many CPUs: " + cpusInUse);
        }
    }

    /** Checks that a 503 response is in time and has a retry time. */
    void checkResponse(PeerMessage.RequestKind kind, PeerMessage.Response response, long waitedMs) {
        if (response.status() == 503 && (response.retryAfterS() < 1 || waitedMs > MAX_503_LATENCY_MS)) {
            violations.add(
                    "late_503: " + kind + " took " + waitedMs + " ms, retry after " + response.retryAfterS() + " s");
        }
    }

    /** Checks that the rejected request is not about an accepted job, which can't become unknown or invalid. */
    void checkRejection(SimulatedUser user, PeerMessage.RequestKind kind, int status) {
        if (user.accepted) {
            violations.add("forgotten: " + user.spec.id() + " gets status " + status + " to " + kind);
        }
    }

    /** Checks that the state in a response agrees with earlier responses and with the number of tasks that are done. */
    void checkJobState(SimulatedUser user, String state, JsonNode body) {
        String jobId = user.spec.id();
        if (user.endState != null && !user.endState.equals(state)) {
            violations.add("went_back: " + jobId + " was " + user.endState + " and is " + state);
        }
        if (state.equals("cancelled") && !user.cancelRequested) {
            violations.add("went_back: " + jobId + " is cancelled though its user did not ask for it");
        }
        if (state.equals("done") && body.path("done").asInt() != user.spec.taskCount()) {
            violations.add("not_done: " + jobId + " is done with completed tasks " + body.path("done"));
        }
    }
}
