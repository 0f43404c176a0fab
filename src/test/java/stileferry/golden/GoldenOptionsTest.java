package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Pins the operators' settings at a real controller: names, defaults, bounds, refusals; and what is off by default. */
class GoldenOptionsTest {
    private static final String PATH = "/admin/settings";
    private static final String RESET = "/admin/settings/reset";
    private static final int ONLY = 0;
    private static final int OTHER = 1;

    @TempDir
    static Path dir;

    private static GoldenAdministrationCluster cluster;

    @BeforeAll
    static void start() throws Exception {
        cluster = new GoldenAdministrationCluster(dir);
        cluster.serve(ONLY, null);
        assertEquals(
                200, cluster.await(ONLY, PATH, answer -> answer.status() == 200).status());
    }

    @AfterAll
    static void stop() throws Exception {
        cluster.close();
    }

    private static long revision() throws Exception {
        return cluster.get(ONLY, PATH).json().path("revision").asLong();
    }

    private static String post(String path, String fields) throws Exception {
        GoldenAdministrationCluster.Answer answer =
                cluster.ask(ONLY, "POST", path, "{\"revision\":" + revision() + fields + "}");
        return answer.status() + " " + answer.body();
    }

    private static String error(int status, String reason) {
        return status + " {\"error\":\"" + reason + "\"}";
    }

    /** The literal answer, with another revision and another value of one setting. */
    private static String expected(long revision, String name, String value) {
        String all = GoldenCommandLineRunner.resource("options-defaults.json").replaceAll("\n *", "");
        return all.replace("\"revision\":0,", "\"revision\":" + revision + ",")
                .replaceAll("(\"name\":\"" + name + "\",\"value\":)[^,]*", "$1" + value);
    }

    @Test
    void defaultsBoundsAndMeaningsAreTold() throws Exception {
        assertEquals("200 " + expected(revision() + 1, "-", "-"), post(RESET, ""));
        GoldenAdministrationCluster.Answer answer = cluster.get(ONLY, PATH);
        assertEquals(expected(revision(), "-", "-"), answer.body());
        assertEquals("application/msgpack", answer.type());
    }

    @ParameterizedTest
    @CsvSource({
        "pass_interval_s, 0.2, 10.0, 0.19, 10.01, 0.2 to 10.0",
        "head_protection_s, 10.0, 86400.0, 9.9, 86401, 10.0 to 86400.0",
        "begin_within_s, 10.0, 86400.0, 9.9, 86401, 10.0 to 86400.0",
        "idle_boots, 0.5, 1000.0, 0.4, 1001, 0.5 to 1000.0",
        "spare_share, 0.0, 1.0, -0.1, 1.1, 0.0 to 1.0",
        "empty_share, 0.0, 1.0, -0.1, 1.1, 0.0 to 1.0",
        "spot_share, 0.0, 1.0, -0.1, 1.1, 0.0 to 1.0"
    })
    void numbersAreTakenWithinTheirBounds(
            String name, String least, String most, String below, String above, String bounds) throws Exception {
        String refusal = error(400, name + ": not a number from " + bounds);
        for (String wrong : List.of(below, above, "\"1\"", "true", "null")) {
            assertEquals(refusal, post(PATH, ",\"change\":{\"" + name + "\":" + wrong + "}"), wrong);
        }
        for (String right : List.of(least, most)) {
            post(RESET, "");
            String want = "200 " + expected(revision() + 1, name, right);
            assertEquals(want, post(PATH, ",\"change\":{\"" + name + "\":" + right + "}"));
        }
    }

    @Test
    void preemptionIsTrueOrFalse() throws Exception {
        post(RESET, "");
        String refusal = error(400, "preemption: not true or false");
        assertEquals(refusal, post(PATH, ",\"change\":{\"preemption\":1}"));
        assertEquals(refusal, post(PATH, ",\"change\":{\"preemption\":\"true\"}"));
        String want = "200 " + expected(revision() + 1, "preemption", "false");
        assertEquals(want, post(PATH, ",\"change\":{\"preemption\":false}"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"error", "info", "debug", "default"})
    void logLevelIsOneOfItsChoices(String level) throws Exception {
        post(RESET, "");
        String want = "200 " + expected(revision() + 1, "log_level", "\"" + level + "\"");
        assertEquals(want, post(PATH, ",\"change\":{\"log_level\":\"" + level + "\"}"));
        assertEquals(
                error(400, "log_level: not one of [default, error, info, debug]"),
                post(PATH, ",\"change\":{\"log_level\":\"" + level + "s\"}"));
        post(RESET, "");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/admin/settings|,\"change\":{\"no_such\":1}|no_such: unknown setting",
                "/admin/settings|,\"change\":{\"idle_boots\":3,\"no_such\":1}|no_such: unknown setting",
                "/admin/settings|,\"change\":{}|change: a map of settings is missing",
                "/admin/settings|,\"change\":[1]|change: a map of settings is missing",
                "/admin/settings|,\"other\":1|change: a map of settings is missing",
                "/admin/settings/reset|,\"names\":\"idle_boots\"|names: not a list",
                "/admin/settings/reset|,\"names\":[\"idle_boots\",\"no_such\"]|no_such: unknown setting"
            })
    void whatCanNotBeChangedIsRefusedWhole(String path, String fields, String reason) throws Exception {
        GoldenAdministrationCluster.Answer before = cluster.get(ONLY, PATH);
        assertEquals(error(400, reason), post(path, fields));
        assertEquals(before, cluster.get(ONLY, PATH));
    }

    @ParameterizedTest
    @ValueSource(strings = {PATH, RESET})
    void changesNeedTheRevisionThatTheyWereMadeAt(String path) throws Exception {
        String missing = "{\"error\":\"revision: missing or not a whole number\"}";
        for (String body : List.of("{}", "{\"revision\":\"1\"}", "{\"revision\":1.5}", "[1]")) {
            GoldenAdministrationCluster.Answer answer = cluster.ask(ONLY, "POST", path, body);
            assertEquals(400, answer.status());
            assertEquals(missing, answer.body());
        }
        GoldenAdministrationCluster.Answer empty = cluster.ask(ONLY, "POST", path, null);
        assertEquals("400 " + missing, empty.status() + " " + empty.body());
        long now = revision();
        GoldenAdministrationCluster.Answer other =
                cluster.ask(ONLY, "POST", path, "{\"revision\":" + (now + 1) + ",\"change\":{\"idle_boots\":3}}");
        assertEquals(409, other.status());
        assertEquals("{\"error\":\"revision: now at " + now + "\"}", other.body());
    }

    @Test
    void onlyTheNamedSettingsAreReset() throws Exception {
        post(RESET, "");
        post(PATH, ",\"change\":{\"idle_boots\":3.5,\"spare_share\":0.5}");
        String want = "200 " + expected(revision() + 1, "idle_boots", "3.5");
        assertEquals(want, post(RESET, ",\"names\":[\"spare_share\"]"));
        want = "200 " + expected(revision() + 1, "-", "-");
        assertEquals(want, post(RESET, ",\"names\":[]"), "no name: all of them");
    }

    /** The whole way from the command line to the controller and back. */
    @Test
    void theCommandLineReadsChangesAndResetsThem() throws Exception {
        post(RESET, "");
        String node = "--node=" + cluster.address(ONLY);
        long at = revision();
        String defaults = GoldenCommandLineRunner.resource("options-defaults.txt");
        String revision = "revision " + at;
        assertEquals(
                revision + "\n" + defaults,
                GoldenCommandLineRunner.run("admin", "get", node).out());
        String changed = defaults.replace("preemption           true ", "preemption           false");
        assertEquals(
                "revision " + (at + 1) + "\n" + changed,
                GoldenCommandLineRunner.run("admin", "set", node, "--revision=" + at, "preemption=false")
                        .out());
        assertEquals(
                new GoldenCommandLineRunner.Outcome(
                        3, "", "stileferry: refused with 409: revision: now at " + (at + 1)),
                GoldenCommandLineRunner.run("admin", "set", node, "--revision=" + at, "preemption=true"));
        assertEquals(
                "revision " + (at + 2) + "\n" + defaults,
                GoldenCommandLineRunner.run("admin", "reset", node, "--revision=" + (at + 1))
                        .out());
    }

    @Test
    void viewsOfWhatIsOffAreNotFound() throws Exception {
        GoldenAdministrationCluster.Answer links = cluster.get(ONLY, "/admin/links");
        assertEquals("404 {\"error\":\"links: partial_cuts is off\"}", links.status() + " " + links.body());
        GoldenAdministrationCluster.Answer admission = cluster.get(ONLY, "/admin/admission");
        assertEquals(
                "404 {\"error\":\"admission: fair_admission is off\"}", admission.status() + " " + admission.body());
    }

    /** A leader without the feature counts nothing, and whoever has it on says so. */
    @Test
    void totalsOfAdmissionsAreIncompleteAfterALeaderThatCountsNothing() throws Exception {
        cluster.serve(OTHER, "deploy/features-all.json");
        GoldenAdministrationCluster.Answer answer =
                cluster.await(OTHER, "/admin/admission", each -> each.status() == 200);
        String expected =
                """
                totals.revision: whole
                totals.admitted: whole
                totals.complete: flag
                totals.incomplete_from_revision: whole
                here.leads: flag
                here.holds_table: flag
                here.refused_at_door: whole""";
        assertEquals(expected, GoldenAdministrationShape.of(answer.json(), Set.of()));
    }

    @Test
    void standInsTellHowToStartControllers() throws Exception {
        String expected = "stand-ins run; start controllers with: serve --config " + cluster.config(0)
                + " (and node-1.json, node-2.json)\n";
        assertEquals(expected, cluster.printed(0));
    }

    @Test
    void aControllerLogsThatItLeads() throws Exception {
        String log = cluster.printed(1);
        assertTrue(log.lines().anyMatch("INFO leadership - leader elected: term=1"::equals), log);
    }
}
