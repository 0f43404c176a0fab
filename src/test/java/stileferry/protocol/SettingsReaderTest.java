package stileferry.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Settings files are validated completely, and each problem names its field. */
class SettingsReaderTest {
    private static final String VALID =
            """
            {"host_name":"n0","zone":"za","client_listen":"10.0.0.1:80","peer_bind":"10.0.0.1:81","new_field":[1],
            "seeds":[{"host_name":"n1","zone":"zb","peer_addr":"10.0.0.2:81"}],
            "outside":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
            "cluster":{"zones":["za","zb"],"teams":[{"name":"red","cpus":1,"cpus_max":2}],
            "workers":{"report_s":2,"lease_s":10,"cancel_s":20},
            "state":{"rps":150,"write_rps":50,"value_kb":8,"txn_ops":12},
            "cloud":{"rps":5,"list_lag_s":3},"machine_limits":{"max_sockets":1000}}}
            """;

    @Test
    void validSettingsAreReadAndUnknownFieldsAreIgnored() {
        Settings settings = SettingsReader.read(VALID).settings();
        assertNotNull(settings);
        assertEquals("n1", settings.peers().get(0).name());
        assertEquals(81, settings.peerListen().getPort());
        assertEquals(2, settings.team("red").maxCpus());
        assertNull(settings.team("blue"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"host_name\":\"n0\"|\"host_name\":7|host_name",
                "10.0.0.1:80\"|10.0.0.1\"|client_listen",
                "10.0.0.1:81\"|10.0.0.1:99999\"|peer_bind",
                "\"host_name\":\"n1\"|\"host_name\":\"n0\"|seeds[0].host_name",
                "\"lease_s\":10|\"lease_s\":0|cluster.workers.lease_s",
                "\"report_s\":2|\"report_s\":\"soon\"|cluster.workers.report_s",
                "\"rps\":150|\"rps\":-1|cluster.state.rps",
                "\"txn_ops\":12|\"txn_ops\":1|cluster.state.txn_ops",
                "\"txn_ops\":12|\"txn_ops\":12,\"next\":{\"txn_ops\":2}|cluster.state.next.txn_ops",
                "\"txn_ops\":12|\"txn_ops\":12,\"next\":{\"write_rps\":0}|cluster.state.next.write_rps",
                "\"cancel_s\":20|\"cancel_s\":20,\"gang_wait_s\":-1|cluster.workers.gang_wait_s",
                "\"txn_ops\":12}|\"txn_ops\":12},\"clock_off_ms\":-5|cluster.clock_off_ms",
                "\"zones\":[\"za\",\"zb\"]|\"zones\":[3]|cluster.zones",
                "\"cpus_max\":2|\"cpus_max\":-2|cluster.teams[0].cpus_max",
                "\"state\":\"10.2.0.1:2379\"|\"state\":null|outside.state"
            })
    void firstProblemNamesItsField(String from, String to, String field) {
        SettingsReader.Result result = SettingsReader.read(VALID.replace(from, to));
        assertNull(result.settings());
        assertTrue(
                result.problems().get(0).startsWith(field + ":"),
                result.problems().toString());
    }

    /** The next limits apply without notice, so the lower of the current and the next limit is used from the start. */
    @Test
    void lowerOfCurrentAndNextLimitApplies() {
        Settings settings = SettingsReader.read(VALID.replace(
                        "\"txn_ops\":12", "\"txn_ops\":12,\"next\":{\"write_rps\":21,\"value_kb\":2,\"txn_ops\":20}"))
                .settings();
        assertEquals(new Settings.KeyValueStoreLimits(150, 21, 2, 12), settings.keyValueStore());
    }

    @Test
    void everyProblemIsReported() {
        assertTrue(SettingsReader.read("{}").problems().size() > 10);
        assertEquals(1, SettingsReader.read("not json").problems().size());
        assertEquals(1, SettingsReader.read("[]").problems().size());
    }

    /** On a tenth of a core, leaders lost their leases because they were too busy to renew them in time. */
    @Test
    void smallShareOfCoreRaisesSlowdownFactor() {
        Settings fullCore = SettingsReader.read(VALID).settings();
        assertEquals(1, fullCore.slowdownFactor());
        Settings tenthOfCore = SettingsReader.read(VALID.replace("\"max_sockets\"", "\"cores\":0.1,\"max_sockets\""))
                .settings();
        assertEquals(3, tenthOfCore.slowdownFactor(), 1e-9);
        assertEquals(
                List.of("cluster.machine_limits.cores: must be above 0"),
                SettingsReader.read(VALID.replace("\"max_sockets\"", "\"cores\":0,\"max_sockets\""))
                        .problems());
    }
}
