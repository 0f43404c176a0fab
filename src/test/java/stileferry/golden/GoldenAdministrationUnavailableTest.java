package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Pins the responses of a controller while the key-value store is unreachable and there is no leader. */
class GoldenAdministrationUnavailableTest {
    private static final int CONTROLLER = 0;

    @TempDir
    static Path dir;

    private static ProcessCluster cluster;

    @BeforeAll
    static void start() throws Exception {
        cluster = new ProcessCluster(dir);
        cluster.stopStandIns();
        cluster.startController(CONTROLLER, "deploy/features-all.json");
        cluster.awaitResponse(CONTROLLER, "/admin/counters", response -> response.status() == 200);
    }

    @AfterAll
    static void stop() throws Exception {
        cluster.close();
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /admin/settings, 'not available, try again'",
        "POST, /admin/settings, 'not available, try again'",
        "POST, /admin/settings/reset, 'not available, try again'",
        "GET, /admin/leader, 'not available, try again'",
        "GET, /admin/machines, 'not available, try again'",
        "GET, /admin/queue, 'not available, try again'",
        "GET, /admin/teams, 'not available, try again'",
        "GET, /admin/nothing, 'not available, try again'",
        "GET, /admin/admission, 'no leader, or not sure of it'"
    })
    void requestsThatNeedALeaderAreUnavailable(String method, String path, String error) throws Exception {
        assertEquals(
                new ProcessCluster.Response(503, "{\"error\":\"" + error + "\"}", "application/msgpack", "1"),
                cluster.send(CONTROLLER, method, path, null));
    }

    @Test
    void readinessProbeFails() throws Exception {
        assertEquals(new ProcessCluster.Response(503, "", "", ""), cluster.get(CONTROLLER, "/ready"));
    }

    @Test
    void viewsOfTheControllerItselfAreServed() throws Exception {
        assertEquals(
                "",
                cluster.get(CONTROLLER, "/admin/counters").json().path("leader").asText("none"));
        assertEquals(200, cluster.get(CONTROLLER, "/admin/links").status());
    }

    @Test
    void commandLineFails() {
        assertEquals(
                new CommandLineRunner.Outcome(1, "", "stileferry: refused with 503: not available, try again"),
                CommandLineRunner.run(
                        "status", "--node=" + cluster.clientAddress(CONTROLLER), "--patience=0", "job-1"));
    }
}
