package stileferry.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import stileferry.admission.AdmissionConfig;
import stileferry.admission.AdmissionCounts;
import stileferry.protocol.JobSpec;
import stileferry.protocol.Settings;

/** Derives the configuration of admission control from the settings: team weights, job classes and maximum rate. */
public final class AdmissionSettings {
    /** The share of the key-value store's write rate limit that controllers allow themselves. */
    private static final double MAX_WRITE_SHARE = 0.85;

    /** Writes per accepted job under load: its record, and its part of the write of a shard that several jobs share. */
    private static final double WRITES_PER_ACCEPTANCE = 1.25;

    /** Recomputations at the leader, and exchanges with it, per heartbeat interval. */
    private static final int INTERVALS_PER_HEARTBEAT = 2;

    private static final double MS_PER_S = 1000;

    private AdmissionSettings() {}

    /**
     * Returns the configuration of admission control. The weight of a team is the CPUs of its quota; a team without a
     * quota has the average weight of those that have one.
     */
    public static AdmissionConfig config(Settings settings) {
        double intervalMs = MS_PER_S * settings.workers().heartbeatIntervalS() / INTERVALS_PER_HEARTBEAT;
        double maxPerS = settings.keyValueStore().writesPerS() * MAX_WRITE_SHARE / WRITES_PER_ACCEPTANCE;
        return new AdmissionConfig(
                weights(settings), namedClasses(settings), Math.max(1, Math.round(intervalMs)), maxPerS);
    }

    /**
     * Returns the counter of a job's admission. Classes that the settings don't name share one counter per team, as
     * users could otherwise create any number of them.
     */
    public static AdmissionCounts.TeamClass teamClass(Settings settings, JobSpec spec) {
        boolean named = namedClasses(settings).contains(spec.jobClass());
        return new AdmissionCounts.TeamClass(spec.team(), named ? spec.jobClass() : AdmissionConfig.OTHER_CLASSES);
    }

    private static Map<String, Double> weights(Settings settings) {
        double average = settings.teams().stream()
                .mapToDouble(Settings.Team::guaranteedCpus)
                .filter(cpus -> cpus > 0)
                .average()
                .orElse(1);
        Map<String, Double> weights = new HashMap<>();
        settings.teams()
                .forEach(team -> weights.put(team.name(), team.guaranteedCpus() > 0 ? team.guaranteedCpus() : average));
        return weights;
    }

    /** Returns the job classes that the settings name. */
    private static Set<String> namedClasses(Settings settings) {
        return settings.objectives().stream()
                .map(Settings.ServiceLevelObjective::jobClass)
                .filter(name -> !name.isEmpty())
                .collect(Collectors.toSet());
    }
}
