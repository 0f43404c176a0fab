package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import stileferry.protocol.JobSpec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.standin.Worker;

/**
 * The invariants of the scheduler, checked whenever something happens that could break one. Each violation begins with
 * the invariant's name:
 *
 * <ul>
 *   <li>ran_twice: two attempts of a task, or of a gang, run at the same time
 *   <li>ran_cancelled: a task starts after its cancellation was confirmed, or runs for longer than cancel_s after it
 *   <li>wrong_place: a task is where its zones or its machine's kind forbid it
 *   <li>quota: a team uses more than its limit
 *   <li>forgotten: a job that was accepted is unknown, or nobody answers for it
 *   <li>went_back, not_done: what users hear contradicts what they heard before, or what was done
 *   <li>waiting: a job waits beside a machine with room for it long after the last fault
 *   <li>held back: a 503 comes late, or does not say when to come back
 * </ul>
 */
final class InvariantChecks {
    private static final double FORGOTTEN_S = 75;
    private static final double UNSCHEDULED_S = 90;

    /** Within this time a user hears that a request can't be answered now. */
    private static final long LONGEST_503_MS = 4500;

    private static final double ROUNDING = 1e-6;

    private final SimulatedCluster cluster;
    private final List<String> violations;

    InvariantChecks(SimulatedCluster cluster) {
        this.cluster = cluster;
        this.violations = cluster.violations;
    }

    /** What is checked as time passes. */
    void tick() {
        cluster.gangs.jobsWithMixedAttempts().forEach(id -> violations.add("ran_twice: two attempts of " + id));
        for (SimulatedUser user : cluster.users.values()) {
            checkNotForgotten(user);
            checkScheduled(user);
            checkCancelledTasksEnd(user);
        }
    }

    private void checkNotForgotten(SimulatedUser user) {
        long endedAt = cluster.faults.endedAt;
        if (endedAt > 0
                && user.accepted
                && user.endState == null
                && cluster.now - Math.max(endedAt, user.lastAnswerAt) > FORGOTTEN_S * 1000) {
            violations.add("forgotten: " + user.spec.id() + " is not answered for");
        }
    }

    private void checkCancelledTasksEnd(SimulatedUser user) {
        if (user.cancelConfirmedAt > 0
                && cluster.now - user.cancelConfirmedAt > SimulatedCluster.CANCEL_S * 1000
                && cluster.tasks.running(user) > 0) {
            for (String task : cluster.tasks.places().keySet()) {
                if (task.startsWith(user.spec.id() + "/")) {
                    violations.add("ran_cancelled: " + task);
                }
            }
        }
    }

    /** Once the faults are over no job is left waiting beside a machine that fits, with its team under its limit. */
    private void checkScheduled(SimulatedUser user) {
        if (cluster.faults.endedAt == 0
                || !user.accepted
                || user.endState != null
                || user.cancelRequested
                || cluster.tasks.running(user) > 0
                || user.spec.isGang()
                || !roomFor(user.spec)) {
            user.unscheduledSince = 0;
        } else if (user.unscheduledSince == 0) {
            user.unscheduledSince = cluster.now;
        } else if (cluster.now - user.unscheduledSince > UNSCHEDULED_S * 1000) {
            violations.add("waiting: " + user.spec.id() + " beside free room");
        }
    }

    private boolean roomFor(JobSpec spec) {
        double max = cluster.team(spec.team()).maxCpus();
        return (max == 0 || cluster.tasks.cpusOf(spec.team()) + spec.cpus() <= max + ROUNDING)
                && cluster.workers.values().stream()
                        .anyMatch(worker -> (spec.allowsSpot() || !worker.spot())
                                && (spec.zone() == null || spec.zone().equals(worker.zone()))
                                && roomOn(worker, spec));
    }

    private boolean roomOn(Worker worker, JobSpec spec) {
        double cpus = SimulatedMachines.CPUS - spec.cpus();
        double memory = SimulatedMachines.MEMORY_GB - spec.memoryGb();
        for (Map.Entry<String, String> on : cluster.tasks.places().entrySet()) {
            if (on.getValue().startsWith(worker.machine() + "|")) {
                JobSpec there = cluster.users.get(RunningTasks.jobOf(on.getKey())).spec;
                cpus -= there.cpus();
                memory -= there.memoryGb();
            }
        }
        return cpus >= -ROUNDING && memory >= -ROUNDING;
    }

    /** Checks a task that starts, before it is known to run. */
    void checkStart(SimulatedUser user, String task, Worker worker) {
        String place = cluster.tasks.places().get(task);
        if (place != null) {
            violations.add("ran_twice: " + task + " on " + place + " and " + worker.machine());
        }
        checkPlacement(user.spec, task, worker);
        if (user.cancelConfirmedAt > 0) {
            violations.add("ran_cancelled: " + task + " began " + (cluster.now - user.cancelConfirmedAt) + " ms after");
        }
    }

    private void checkPlacement(JobSpec spec, String task, Worker worker) {
        if (worker.spot() && !spec.allowsSpot()
                || spec.zone() != null && !spec.zone().equals(worker.zone())) {
            violations.add("wrong_place: " + task + " on " + worker.machine());
        }
        long inZone = 1;
        for (Map.Entry<String, String> entry : cluster.tasks.places().entrySet()) {
            if (entry.getKey().startsWith(spec.id() + "/")) {
                boolean same = entry.getValue().endsWith("|" + worker.zone());
                inZone += same ? 1 : 0;
                if (spec.oneZone() && !same) {
                    violations.add("wrong_place: " + task + " away from its zone");
                }
            }
        }
        if (spec.spreadAcrossZones() && inZone > (spec.taskCount() + 1) / 2) {
            violations.add("wrong_place: " + task + " with too many in " + worker.zone());
        }
    }

    void checkQuota(String name) {
        Settings.Team team = cluster.team(name);
        double sum = cluster.tasks.cpusOf(name);
        if (team.maxCpus() > 0 && sum > team.maxCpus() + ROUNDING) {
            violations.add("quota: " + name + " uses " + sum);
        }
    }

    /** A 503 must come in time and say when to come back. */
    void checkResponse(PeerMessage.RequestKind kind, PeerMessage.Response response, long waitedMs) {
        if (response.status() == 503 && (response.retryAfterS() < 1 || waitedMs > LONGEST_503_MS)) {
            violations.add(
                    "held back: " + kind + " for " + waitedMs + " ms, come back in " + response.retryAfterS() + " s");
        }
    }

    /** An accepted job is not unknown or invalid later. */
    void checkRejection(SimulatedUser user, PeerMessage.RequestKind kind, int status) {
        if (user.accepted) {
            violations.add("forgotten: " + user.spec.id() + " is answered " + status + " to " + kind);
        }
    }

    /** What a user hears must agree with what it heard before, and with what was done. */
    void checkAnswer(SimulatedUser user, String phase, JsonNode body) {
        String id = user.spec.id();
        if (user.endState != null && !user.endState.equals(phase)) {
            violations.add("went_back: " + id + " was " + user.endState + " and is " + phase);
        }
        if (phase.equals("cancelled") && !user.cancelRequested) {
            violations.add("went_back: " + id + " is cancelled by nobody");
        }
        if (phase.equals("done") && body.path("done").asInt() != user.spec.taskCount()) {
            violations.add("not_done: " + id + " with " + body.path("done"));
        }
    }
}
