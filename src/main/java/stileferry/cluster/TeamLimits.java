package stileferry.cluster;

import java.util.HashMap;
import java.util.Map;
import stileferry.protocol.JobSpec;
import stileferry.protocol.Settings;

/**
 * The resources that the teams use, and what their limits and quotas allow beside them. Every task that may be on a
 * machine counts. A team that is not in the settings has neither.
 */
public final class TeamLimits {
    private static final Resources NOTHING = new Resources();

    private final Settings settings;
    private final InvariantMonitor invariants;
    private final Map<String, Usage> usageByTeam = new HashMap<>();

    /** The resources used by one team and the number of its tasks. */
    private static final class Usage {
        private final Resources used = new Resources();
        private int tasks;

        private void adjust(JobSpec spec, int sign) {
            tasks += sign;
            used.add(spec, sign);
            if (tasks == 0) {
                used.clear(); // discards accumulated rounding errors
            }
        }
    }

    TeamLimits(Settings settings, InvariantMonitor invariants) {
        this.settings = settings;
        this.invariants = invariants;
        for (Settings.Team team : settings.teams()) {
            usageByTeam.put(team.name(), new Usage());
        }
    }

    /** Adds one task to the usage of its team if {@code sign} is 1, or removes it if {@code sign} is -1. */
    void adjust(JobSpec spec, int sign) {
        Usage usage = usageByTeam.get(spec.team());
        if (usage != null) {
            usage.adjust(spec, sign);
        }
    }

    /** Returns the CPUs of a team's tasks that may be on machines, or 0 for a team that is not in the settings. */
    public double cpusInUse(String team) {
        return used(team).cpus();
    }

    /** Returns the GPUs of a team's tasks that may be on machines, or 0 for a team that is not in the settings. */
    public double gpusInUse(String team) {
        return used(team).gpus();
    }

    private Resources used(String team) {
        Usage usage = usageByTeam.get(team);
        return usage == null ? NOTHING : usage.used;
    }

    /** Returns how many of the job's pending tasks its team's limit allows to start beside what the team uses. */
    public int startableTasks(Job job) {
        return startableTasks(job, NOTHING);
    }

    /**
     * Returns how many of the job's pending tasks its team's limit allows to start, wherever there is capacity. As a
     * gang starts with all of its tasks or not at all, these are all or none. Capacity may be freed, reserved or
     * requested for that many tasks only; more could not start in it.
     *
     * @param claimed what is meant for other pending tasks of the team, beside what the team uses
     */
    public int startableTasks(Job job, Resources claimed) {
        int pending = job.pendingCount();
        Settings.Team team = settings.team(job.spec().team());
        if (team == null) {
            return pending;
        }
        Resources used = used(team.name());
        int byCpus = tasksWithin(
                team.maxCpus(), used.cpus() + claimed.cpus(), job.spec().cpus());
        int byGpus = tasksWithin(
                team.maxGpus(), used.gpus() + claimed.gpus(), job.spec().gpus());
        int startable = Math.min(pending, Math.min(byCpus, byGpus));
        return job.spec().isGang() && startable < pending ? 0 : startable;
    }

    private static int tasksWithin(double limit, double used, double requested) {
        if (limit == 0) {
            return Integer.MAX_VALUE;
        }
        double free = limit - used + Resources.ROUNDING_TOLERANCE;
        if (free < 0) {
            return 0;
        }
        return requested == 0 ? Integer.MAX_VALUE : (int) (free / requested);
    }

    /** Checks, after tasks of a job have been assigned, that the job's team is within its limit. */
    public void check(Job job) {
        Settings.Team team = settings.team(job.spec().team());
        if (team == null) {
            return;
        }
        Resources used = used(team.name());
        if (exceeds(used.cpus(), team.maxCpus()) || exceeds(used.gpus(), team.maxGpus())) {
            invariants.violated(
                    InvariantMonitor.Invariant.START_WITHIN_TEAM_LIMIT,
                    "job=" + job.spec().id() + " team=" + team.name() + " cpus=" + used.cpus() + " gpus="
                            + used.gpus());
        }
    }

    private static boolean exceeds(double used, double limit) {
        return limit > 0 && used > limit + Resources.ROUNDING_TOLERANCE;
    }

    /** Returns whether a team uses more than its quota, even after releasing these CPUs and GPUs. */
    public boolean exceedsQuota(String teamName, double releasedCpus, double releasedGpus) {
        Settings.Team team = settings.team(teamName);
        Resources used = used(teamName);
        return team != null
                && (used.cpus() - releasedCpus > team.guaranteedCpus() + Resources.ROUNDING_TOLERANCE
                        || used.gpus() - releasedGpus > team.guaranteedGpus() + Resources.ROUNDING_TOLERANCE);
    }
}
