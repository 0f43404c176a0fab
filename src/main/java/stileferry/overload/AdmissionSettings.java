package stileferry.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import stileferry.admission.AdmissionConfig;
import stileferry.admission.AdmissionCounts;
import stileferry.protocol.JobSpec;
import stileferry.protocol.Settings;

/** What the settings say of admissions: weights, classes, and how many there may be. */
public final class AdmissionSettings {
    /** The share of the key-value store's changes that controllers allow themselves. */
    private static final double WRITE_SHARE = 0.85;

    /** Changes that each acceptance costs under load: its job's record, and the part of a count that others share. */
    private static final double CHANGES_EACH_ACCEPTANCE = 1.25;

    /** Steps of the leader, and exchanges with it, in a heartbeat interval. */
    private static final int STEPS_EACH_HEARTBEAT = 2;

    private static final double MS_PER_S = 1000;

    private AdmissionSettings() {}

    /** Weights are the teams' guarantees; who has none counts like the average of those who have one. */
    public static AdmissionConfig config(Settings settings) {
        double intervalMs = MS_PER_S * settings.workers().heartbeatIntervalS() / STEPS_EACH_HEARTBEAT;
        double maxPerS = settings.keyValueStore().writesPerS() * WRITE_SHARE / CHANGES_EACH_ACCEPTANCE;
        return new AdmissionConfig(weights(settings), classes(settings), Math.max(1, Math.round(intervalMs)), maxPerS);
    }

    /**
     * Where a job's admission is counted: classes that the settings don't name are one, or users could make up any
     * number.
     */
    public static AdmissionCounts.TeamClass cell(Settings settings, JobSpec spec) {
        boolean named = classes(settings).contains(spec.jobClass());
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

    /** The classes that the settings name. */
    private static Set<String> classes(Settings settings) {
        return settings.objectives().stream()
                .map(Settings.ServiceLevelObjective::jobClass)
                .filter(name -> !name.isEmpty())
                .collect(Collectors.toSet());
    }
}
