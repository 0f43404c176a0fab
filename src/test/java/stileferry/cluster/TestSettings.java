package stileferry.cluster;

import java.util.List;
import stileferry.protocol.Settings;

/** Creates settings for tests without a controller: two zones, a heartbeat interval of 2 s and leases of 10 s. */
public final class TestSettings {
    private TestSettings() {}

    /** Creates settings with these teams and one service-level objective. */
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
