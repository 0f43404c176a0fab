package stileferry.cluster;

import java.util.List;
import stileferry.protocol.Settings;

/** Settings for tests that need no controller: two zones, a heartbeat every 2 s and leases of 10 s. */
public final class TestSettings {
    private TestSettings() {}

    /** Settings with these teams and one objective. */
    public static Settings with(List<Settings.Team> teams, Settings.ServiceLevelObjective objective) {
        return new Settings(
                "n0",
                "za",
                null,
                null,
                List.of(),
                "c",
                "s",
                List.of("za", "zb"),
                teams,
                List.of(objective),
                new Settings.WorkerTimings(2, 10, 20),
                new Settings.KeyValueStoreLimits(100, 50, 8, 12),
                new Settings.CloudLimits(5, 3),
                1,
                100,
                5);
    }
}
