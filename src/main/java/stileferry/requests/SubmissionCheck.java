package stileferry.requests;

import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.protocol.JobSpec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;

/** Checks a well-formed submission against team limits, machine types and the limits of the key-value store. */
final class SubmissionCheck {
    /** The share of the value size limit that the record of a new job may take; it grows later. */
    private static final double MAX_RECORD_SHARE = 0.9;

    private static final int BYTES_PER_KB = 1024;
    private static final int HTTP_UNPROCESSABLE = 422;

    private final ClusterState cluster;
    private final RequestMetrics metrics;

    SubmissionCheck(ClusterState cluster, RequestMetrics metrics) {
        this.cluster = cluster;
        this.metrics = metrics;
    }

    /** Returns the response that says why a job can't be accepted, or null if it can. */
    PeerMessage.Response rejection(JobSpec spec) {
        Settings.Team team = cluster.settings().team(spec.team());
        if (team == null) {
            return reject("unknown team");
        }
        if (cluster.machineTypes().isEmpty()) {
            return metrics.unavailable(UnavailableReason.MACHINE_TYPES_UNKNOWN);
        }
        if (cluster.machineTypes().stream().noneMatch(spec::fitsMachineType)) {
            return reject("a task fits no allowed machine type");
        }
        if (!spec.canRunTogether(cluster.machineTypes())) {
            return reject("its tasks can't all run at the same time");
        }
        return exceedsLimit(spec, team) ? reject("more than the team's limit") : null;
    }

    /** Returns the response that says why the record of a job can't be stored, or null if it can. */
    PeerMessage.Response recordRejection(Job job) {
        double maxLength = cluster.settings().keyValueStore().maxValueKb() * BYTES_PER_KB * MAX_RECORD_SHARE;
        int length = job.entry().value().toString().length();
        return length > maxLength ? reject("its description is larger than can be kept") : null;
    }

    /**
     * Returns whether a job could never run within its team's limit. One task of a job array has to fit; of other jobs
     * all tasks together.
     */
    private static boolean exceedsLimit(JobSpec spec, Settings.Team team) {
        double tasks = spec.kind() == JobSpec.Kind.ARRAY ? 1 : spec.taskCount();
        return team.maxCpus() > 0 && tasks * spec.cpus() > team.maxCpus()
                || team.maxGpus() > 0 && tasks * spec.gpus() > team.maxGpus();
    }

    private static PeerMessage.Response reject(String reason) {
        return Responses.error(HTTP_UNPROCESSABLE, reason);
    }
}
