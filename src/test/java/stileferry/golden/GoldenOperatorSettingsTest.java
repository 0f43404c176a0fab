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

/**
 * Pins the operator settings as a real controller serves them: names, defaults, bounds and errors. Also pins what a
 * controller without optional features does.
 */
class GoldenOperatorSettingsTest {
    private static final String SETTINGS_PATH = "/admin/settings";
    private static final String RESET_PATH = "/admin/settings/reset";
    private static final int CONTROLLER = 0;
    private static final int CONTROLLER_WITH_FEATURES = 1;

    @TempDir
    static Path dir;

    private static ProcessCluster cluster;

    @BeforeAll
    static void start() throws Exception {
        cluster = new ProcessCluster(dir);
        cluster.startController(CONTROLLER, null);
        assertEquals(
                200,
                cluster.awaitResponse(CONTROLLER, SETTINGS_PATH, response -> response.status() == 200)
                        .status());
    }

    @AfterAll
    static void stop() throws Exception {
        cluster.close();
    }

    private static long revision() throws Exception {
        return cluster.get(CONTROLLER, SETTINGS_PATH).json().path("revision").asLong();
    }

    private static String post(String path, String fields) throws Exception {
        ProcessCluster.Response response =
                cluster.send(CONTROLLER, "POST", path, "{\"revision\":" + revision() + fields + "}");
        return response.status() + " " + response.body();
    }

    private static String errorResponse(int status, String reason) {
        return status + " {\"error\":\"" + reason + "\"}";
    }

    /** Returns the golden response with another revision and another value of one setting ("-": of none). */
    private static String expectedSettings(long revision, String name, String value) {
        String defaults = CommandLineRunner.goldenFile("options-defaults.json").replaceAll("\n *", "");
        return defaults.replace("\"revision\":0,", "\"revision\":" + revision + ",")
                .replaceAll("(\"name\":\"" + name + "\",\"value\":)[^,]*", "$1" + value);
    }

    @Test
    void defaultsBoundsAndMeaningsAreReturned() throws Exception {
        assertEquals("200 " + expectedSettings(revision() + 1, "-", "-"), post(RESET_PATH, ""));
        ProcessCluster.Response response = cluster.get(CONTROLLER, SETTINGS_PATH);
        assertEquals(expectedSettings(revision(), "-", "-"), response.body());
        assertEquals("application/msgpack", response.contentType());
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
    void numbersAreAcceptedWithinTheirBounds(
            String name, String min, String max, String belowMin, String aboveMax, String bounds) throws Exception {
        String rejection = errorResponse(400, name + ": not a number from " + bounds);
        for (String invalid : List.of(belowMin, aboveMax, "\"1\"", "true", "null")) {
            assertEquals(rejection, post(SETTINGS_PATH, ",\"change\":{\"" + name + "\":" + invalid + "}"), invalid);
        }
        for (String valid : List.of(min, max)) {
            post(RESET_PATH, "");
            String expected = "200 " + expectedSettings(revision() + 1, name, valid);
            assertEquals(expected, post(SETTINGS_PATH, ",\"change\":{\"" + name + "\":" + valid + "}"));
        }
    }

    @Test
    void preemptionAcceptsOnlyBooleans() throws Exception {
        post(RESET_PATH, "");
        String rejection = errorResponse(400, "preemption: not true or false");
        assertEquals(rejection, post(SETTINGS_PATH, ",\"change\":{\"preemption\":1}"));
        assertEquals(rejection, post(SETTINGS_PATH, ",\"change\":{\"preemption\":\"true\"}"));
        String expected = "200 " + expectedSettings(revision() + 1, "preemption", "false");
        assertEquals(expected, post(SETTINGS_PATH, ",\"change\":{\"preemption\":false}"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"error", "info", "debug", "default"})
    void logLevelAcceptsOnlyItsChoices(String level) throws Exception {
        post(RESET_PATH, "");
        String expected = "200 " + expectedSettings(revision() + 1, "log_level", "\"" + level + "\"");
        assertEquals(expected, post(SETTINGS_PATH, ",\"change\":{\"log_level\":\"" + level + "\"}"));
        assertEquals(
                errorResponse(400, "log_level: not one of [default, error, info, debug]"),
                post(SETTINGS_PATH, ",\"change\":{\"log_level\":\"" + level + "s\"}"));
        post(RESET_PATH, "");
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
    void invalidChangeIsRejectedAsAWhole(String path, String fields, String reason) throws Exception {
        ProcessCluster.Response before = cluster.get(CONTROLLER, SETTINGS_PATH);
        assertEquals(errorResponse(400, reason), post(path, fields));
        assertEquals(before, cluster.get(CONTROLLER, SETTINGS_PATH));
    }

    @ParameterizedTest
    @ValueSource(strings = {SETTINGS_PATH, RESET_PATH})
    void changesRequireTheCurrentRevision(String path) throws Exception {
        String missing = "{\"error\":\"revision: missing or not a whole number\"}";
        for (String body : List.of("{}", "{\"revision\":\"1\"}", "{\"revision\":1.5}", "[1]")) {
            ProcessCluster.Response response = cluster.send(CONTROLLER, "POST", path, body);
            assertEquals(400, response.status());
            assertEquals(missing, response.body());
        }
        ProcessCluster.Response empty = cluster.send(CONTROLLER, "POST", path, null);
        assertEquals("400 " + missing, empty.status() + " " + empty.body());
        long currentRevision = revision();
        ProcessCluster.Response conflict = cluster.send(
                CONTROLLER, "POST", path, "{\"revision\":" + (currentRevision + 1) + ",\"change\":{\"idle_boots\":3}}");
        assertEquals(409, conflict.status());
        assertEquals("{\"error\":\"revision: now at " + currentRevision + "\"}", conflict.body());
    }

    @Test
    void onlyTheNamedSettingsAreReset() throws Exception {
        post(RESET_PATH, "");
        post(SETTINGS_PATH, ",\"change\":{\"idle_boots\":3.5,\"spare_share\":0.5}");
        String expected = "200 " + expectedSettings(revision() + 1, "idle_boots", "3.5");
        assertEquals(expected, post(RESET_PATH, ",\"names\":[\"spare_share\"]"));
        expected = "200 " + expectedSettings(revision() + 1, "-", "-");
        assertEquals(expected, post(RESET_PATH, ",\"names\":[]"), "an empty list of names resets all settings");
    }

    /** Covers the whole path from the command line to the controller and back. */
    @Test
    void commandLineShowsChangesAndResetsSettings() throws Exception {
        post(RESET_PATH, "");
        String node = "--node=" + cluster.clientAddress(CONTROLLER);
        long currentRevision = revision();
        String defaults = CommandLineRunner.goldenFile("options-defaults.txt");
        String firstLine = "revision " + currentRevision;
        assertEquals(
                firstLine + "\n" + defaults,
                CommandLineRunner.run("admin", "get", node).out());
        String changed = defaults.replace("preemption           true ", "preemption           false");
        assertEquals(
                "revision " + (currentRevision + 1) + "\n" + changed,
                CommandLineRunner.run("admin", "set", node, "--revision=" + currentRevision, "preemption=false")
                        .out());
        assertEquals(
                new CommandLineRunner.Outcome(
                        3, "", "stileferry: refused with 409: revision: now at " + (currentRevision + 1)),
                CommandLineRunner.run("admin", "set", node, "--revision=" + currentRevision, "preemption=true"));
        assertEquals(
                "revision " + (currentRevision + 2) + "\n" + defaults,
                CommandLineRunner.run("admin", "reset", node, "--revision=" + (currentRevision + 1))
                        .out());
    }

    @Test
    void viewsOfDisabledFeaturesAreNotFound() throws Exception {
        ProcessCluster.Response links = cluster.get(CONTROLLER, "/admin/links");
        assertEquals("404 {\"error\":\"links: partial_cuts is off\"}", links.status() + " " + links.body());
        ProcessCluster.Response admission = cluster.get(CONTROLLER, "/admin/admission");
        assertEquals(
                "404 {\"error\":\"admission: fair_admission is off\"}", admission.status() + " " + admission.body());
    }

    /**
     * Guards against totals that are shown as complete although jobs were not counted: the leader runs without fair
     * admission and counts no admissions; a controller with the feature must report the totals as incomplete.
     */
    @Test
    void admissionTotalsAreIncompleteUnderALeaderThatDoesNotCount() throws Exception {
        cluster.startController(CONTROLLER_WITH_FEATURES, "deploy/features-all.json");
        ProcessCluster.Response response = cluster.awaitResponse(
                CONTROLLER_WITH_FEATURES, "/admin/admission", candidate -> candidate.status() == 200);
        String expected =
                """
                totals.revision: whole
                totals.admitted: whole
                totals.complete: flag
                totals.incomplete_from_revision: whole
                here.leads: flag
                here.holds_table: flag
                here.refused_at_door: whole""";
        assertEquals(expected, JsonShape.describe(response.json(), Set.of()));
    }

    @Test
    void standInsPrintHowToStartControllers() throws Exception {
        String expected = "stand-ins run; start controllers with: serve --config " + cluster.settingsFile(0)
                + " (and node-1.json, node-2.json)\n";
        assertEquals(expected, cluster.outputOf(0));
    }

    @Test
    void controllerLogsItsElection() throws Exception {
        String log = cluster.outputOf(1);
        assertTrue(log.lines().anyMatch("INFO leadership - leader elected: term=4096"::equals), log);
    }
}
