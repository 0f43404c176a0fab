package stileferry.coordination;

import stileferry.protocol.Settings;
import stileferry.protocol.SettingsReader;

/**
 * The settings of the three controllers of a simulated cluster, with two zones and three teams. They announce lower
 * limits of the key-value store.
 */
final class SimulatedSettings {
    /** The announced write rate of the key-value store, as a share of the present one. */
    private static final double LOWERED_WRITE_RATE_FACTOR = 0.8;

    private static final String SETTINGS =
            """
            {"host_name":"%s","zone":"za","client_listen":"10.0.0.9:1","peer_bind":"10.0.0.9:2","seeds":[%s],
            "outside":{"cloud":"%s","state":"%s"},
            "cluster":{"zones":["za","zb"],"teams":[{"name":"red","cpus":24,"cpus_max":%s},
            {"name":"blue","cpus":16,"cpus_max":24},{"name":"free"}],"objectives":[],
            "workers":{"report_s":%s,"lease_s":%s,"cancel_s":%s,"gang_wait_s":8,"gang_peer_s":3},
            "state":{"rps":150,"write_rps":%s,"value_kb":8,"txn_ops":12,
            "next":{"write_rps":%s,"value_kb":2,"txn_ops":4}},
            "cloud":{"rps":5,"list_lag_s":3},"machine_limits":{"max_sockets":1000},"clock_off_ms":20}}
            """;

    private SimulatedSettings() {}

    /** Returns the settings of one controller. */
    static Settings of(String controller, double heartbeatIntervalS, double redMaxCpus, double writesPerS) {
        String text = SETTINGS.formatted(
                controller,
                seedsWithout(controller),
                SimulatedCluster.CLOUD,
                SimulatedCluster.STORE,
                redMaxCpus,
                heartbeatIntervalS,
                5 * heartbeatIntervalS,
                SimulatedCluster.CANCEL_S,
                writesPerS,
                LOWERED_WRITE_RATE_FACTOR * writesPerS);
        SettingsReader.Result result = SettingsReader.read(text);
        if (result.settings() == null) {
            throw new IllegalStateException(result.problems().toString());
        }
        return result.settings();
    }

    private static String seedsWithout(String controller) {
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < SimulatedCluster.CONTROLLER_COUNT; i++) {
            if (!controller.equals("n" + i)) {
                seeds.append(seeds.isEmpty() ? "" : ",")
                        .append("{\"host_name\":\"n")
                        .append(i)
                        .append("\",\"zone\":\"za\",\"peer_addr\":\"10.0.0.")
                        .append(i)
                        .append(":1\"}");
            }
        }
        return seeds.toString();
    }
}
