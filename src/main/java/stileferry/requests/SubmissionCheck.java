package stileferry.requests;

import stileferry.cluster.ClusterState;
import stileferry.cluster.Job;
import stileferry.protocol.JobSpec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;

/** Checks a well-formed submission against the teams, the machine types and the limits of the key-value store. */
final class SubmissionCheck {
    /** The share of the value limit that a job's record may take; the rest is for what is added later. */
    private static final double MAX_RECORD_SHARE = 0.9;

    private static final int BYTES_PER_KB = 1024;
    private static final int UNPROCESSABLE = 422;

    private final ClusterState cluster;

    SubmissionCheck(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** Why a job can't be accepted; null: it can. */
    PeerMessage.Response refusal(JobSpec spec) {
        Settings.Team team = cluster.settings().team(spec.team());
        if (team == null) {
            return refuse("unknown team");
        }
        if (cluster.machineTypes().isEmpty()) {
            return Responses.unavailable();
        }
        if (cluster.machineTypes().stream().noneMatch(spec::fitsMachineType)) {
            return refuse("a task fits no allowed machine type");
        }
        if (!spec.canRunTogether(cluster.machineTypes())) {
            return refuse("its tasks can't all run at the same time");
        }
        return exceedsLimit(spec, team) ? refuse("more than the team's limit") : null;
    }

    /** Why the record of a job can't be stored; null: it can. */
    PeerMessage.Response recordRefusal(Job job) {
        double maxLength = cluster.settings().keyValueStore().maxValueKb() * BYTES_PER_KB * MAX_RECORD_SHARE;
        int length = job.entry().value().toString().length();
        return length > maxLength ? refuse("its description is larger than can be kept") : null;
    }

    /** Whether a job could never run under its team's limit; of an array one task has to fit, of others all. */
    private static boolean exceedsLimit(JobSpec spec, Settings.Team team) {
        double tasks = spec.kind() == JobSpec.Kind.ARRAY ? 1 : spec.taskCount();
        return team.maxCpus() > 0 && tasks * spec.cpus() > team.maxCpus()
                || team.maxGpus() > 0 && tasks * spec.gpus() > team.maxGpus();
    }

    private static PeerMessage.Response refuse(String reason) {
        return Responses.refusal(UNPROCESSABLE, reason);
    }
}
