package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Pins the fields of the views in the administration API, and its paths, methods and status codes. Two of three
 * configured controllers run with all features on, one as leader and one as follower. Three jobs are submitted, two of
 * which need many CPUs.
 */
class GoldenAdministrationViewsTest {
    private static final String ALL_FEATURES = "deploy/features-all.json";
    private static final Set<String> MAPS_WITH_DYNAMIC_KEYS = Set.of("answers", "times_ms");

    @TempDir
    static Path dir;

    private static ProcessCluster cluster;
    private static int leader;
    private static int follower;

    @BeforeAll
    static void start() throws Exception {
        cluster = new ProcessCluster(dir);
        cluster.startController(0, ALL_FEATURES);
        cluster.awaitResponse(0, "/admin/leader", response -> response.status() == 200);
        cluster.startController(1, ALL_FEATURES);
        submit("--id=job-1", "--team=red", "--kind=service", "--priority=critical", "--tasks=3", "--cpus=8");
        assertEquals(
                List.of("no machine that it may use is up"),
                cluster.get(0, "/admin/queue").json().findValuesAsText("why"));
        cluster.awaitResponse(0, "/work/job-1", response -> response.body().contains("\"running\":3"));
        submit("--id=job-2", "--team=red", "--tasks=1", "--cpus=1", "--estimate-s=600");
        submit("--id=job-3", "--team=blue", "--tasks=50", "--cpus=8", "--estimate-s=600");
        cluster.awaitResponse(1, "/admin/links", response -> response.body().contains("\"exchanges_views\":true"));
        String leaderName =
                cluster.get(1, "/admin/counters").json().path("leader").asText();
        leader = leaderName.equals("node-1") ? 1 : 0;
        follower = 1 - leader;
    }

    @AfterAll
    static void stop() throws Exception {
        cluster.close();
    }

    private static void submit(String... job) {
        List<String> args = new ArrayList<>(List.of("submit", "--node=" + cluster.clientAddress(0)));
        args.addAll(List.of(job));
        String id = job[0].substring("--id=".length());
        assertEquals(
                new CommandLineRunner.Outcome(0, id + " pending, 0 tasks done, 0 running", ""),
                CommandLineRunner.run(args.toArray(String[]::new)));
    }

    /** Describes the fields of a view, without the last failure of a link: it is absent until a request has failed. */
    private static String shape(JsonNode view) {
        return JsonShape.describe(view, MAPS_WITH_DYNAMIC_KEYS)
                .lines()
                .filter(line -> !line.endsWith(".last_failure: text"))
                .collect(Collectors.joining("\n"));
    }

    private static JsonNode view(int controller, String name) throws Exception {
        ProcessCluster.Response response = cluster.get(controller, "/admin/" + name);
        assertEquals(200, response.status());
        assertEquals("application/msgpack", response.contentType());
        return response.json();
    }

    @ParameterizedTest
    @ValueSource(strings = {"leader", "machines", "queue", "teams", "counters", "links"})
    void viewsHaveTheSameFieldsFromLeaderAndFollower(String name) throws Exception {
        String expected = CommandLineRunner.goldenFile("view-" + name + ".txt");
        assertEquals(expected, shape(view(leader, name)));
        assertEquals(expected, shape(view(follower, name)));
    }

    @Test
    void admissionViewHasMoreFieldsOnTheLeader() throws Exception {
        JsonNode totalsBefore = view(leader, "admission").path("totals");
        submit("--id=job-4", "--team=blue", "--priority=idle", "--tasks=1", "--cpus=1", "--estimate-s=600");
        cluster.awaitResponse(
                follower, "/admin/admission", response -> response.body().contains("table_term"));
        JsonNode view = view(leader, "admission");
        assertEquals(CommandLineRunner.goldenFile("view-admission.txt"), shape(view));
        assertEquals(CommandLineRunner.goldenFile("view-admission-follower.txt"), shape(view(follower, "admission")));
        assertEquals(
                totalsBefore.path("admitted").asInt() + 1,
                view.path("totals").path("admitted").asInt());
        assertTrue(view.path("totals").path("complete").asBoolean());
        assertEquals("[\"*\",\"*\"]", jobClasses(view.path("totals").path("admissions")));
        assertTrue(view.path("here").path("leads").asBoolean());
        assertTrue(view.path("here").path("flows").findValuesAsText("priority").contains("idle"));
    }

    private static String jobClasses(JsonNode admissions) {
        return admissions.findValuesAsText("class").stream()
                .map(name -> "\"" + name + "\"")
                .collect(Collectors.joining(",", "[", "]"));
    }

    @Test
    void countersAreKeyedByRequestAndStatusAndNameTheController() throws Exception {
        cluster.get(follower, "/work/job-999");
        cluster.send(follower, "POST", "/work/job-999/withdraw", null);
        cluster.send(follower, "POST", "/work", "{}");
        cluster.get(follower, "/admin/teams");
        JsonNode counters = view(follower, "counters");
        for (String name : List.of("status 404", "withdraw 404", "submit 400", "admin 200")) {
            assertTrue(counters.path("answers").path(name).asInt() > 0, name + " " + counters);
        }
        for (String name : List.of("status", "withdraw", "submit", "admin")) {
            assertTrue(counters.path("times_ms").path(name).path("count").asInt() > 0, name + " " + counters);
        }
        assertEquals("node-" + follower, counters.path("node").asText());
        assertEquals("node-" + leader, counters.path("leader").asText());
    }

    @Test
    void linksViewUsesTheExpectedWords() throws Exception {
        JsonNode leaderView = view(leader, "links");
        assertEquals("stay", leaderView.path("advice").asText());
        assertEquals("nobody is clearly better", leaderView.path("reason").asText());
        assertEquals("good", leaderView.path("store").path("condition").asText());
        assertEquals(
                List.of("node-" + follower, "node-2"),
                leaderView.path("controllers").findValuesAsText("name"));
        JsonNode followerView = view(follower, "links");
        assertEquals("stand", followerView.path("advice").asText());
        assertEquals(
                "leads when the leadership is free", followerView.path("reason").asText());
    }

    @Test
    void linksViewShowsTheLastFailureOfAnAbsentController() throws Exception {
        JsonNode view = cluster.awaitResponse(leader, "/admin/links", response -> {
                    try {
                        return response.json().at("/controllers/1/to").has("last_failure");
                    } catch (IOException e) {
                        return false;
                    }
                })
                .json();
        String lastFailure = view.at("/controllers/1/to/last_failure").asText();
        assertTrue(List.of("refused", "unanswered").contains(lastFailure), view.toString());
        cluster.awaitResponse(
                leader, "/admin/links", response -> response.body().contains("\"condition\":\"failing\""));
        assertEquals(
                "failing",
                view(leader, "links").at("/controllers/1/to/condition").asText());
    }

    @Test
    void queueViewShowsWhyJobsWait() throws Exception {
        cluster.awaitResponse(
                leader, "/admin/queue", response -> response.body().contains("no room on "));
        JsonNode queue = view(leader, "queue").path("queue");
        List<String> reasons = queue.findValuesAsText("why");
        assertTrue(reasons.contains("its team is at its limit"), queue.toString());
        assertTrue(
                reasons.stream().anyMatch(why -> why.matches("no room on [0-9]+ machines that it may use")),
                queue.toString());
        assertTrue(queue.findValuesAsText("priority").contains("normal"), queue.toString());
    }

    @Test
    void machinesViewShowsTypeStateAndTasks() throws Exception {
        JsonNode machines = view(follower, "machines").path("machines");
        assertEquals(
                Set.of("box"),
                machines.findValuesAsText("type").stream().collect(Collectors.toSet()),
                machines.toString());
        assertTrue(machines.findValuesAsText("state").contains("in use"), machines.toString());
        assertTrue(machines.toString().contains("\"tasks\":[\"job-1/"), machines.toString());
        assertTrue(machines.path(0).path("name").asText().startsWith("host-"), machines.toString());
    }

    @Test
    void listsContinueAfterANameOrPosition() throws Exception {
        JsonNode machines = view(leader, "machines").path("machines");
        String first = machines.path(0).path("name").asText();
        List<String> remaining =
                view(leader, "machines?from=" + first).path("machines").findValuesAsText("name");
        assertEquals(machines.size() - 1, remaining.size());
        assertTrue(!remaining.contains(first), first);
        assertEquals(2, view(leader, "queue?from=1").at("/queue/0/position").asInt(), "entries after position 1");
        assertEquals(
                1,
                view(leader, "queue?from=x").at("/queue/0/position").asInt(),
                "not a position, so the list starts at its first entry");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "GET|/admin/settings|200|",
                "GET|/admin/settings/reset|405|only POST here",
                "GET|/admin/nothing|404|no such path",
                "GET|/admin/|404|no such path",
                "GET|/admin|404|no such path",
                "GET|/admin/leader?from=x|200|",
                "GET|/admin/teams?from=x|200|",
                "GET|/admin/counters?from=x|404|no such path",
                "GET|/admin/links?from=x|404|no such path",
                "GET|/admin/admission?from=x|404|no such path",
                "POST|/admin/leader|405|only GET here",
                "POST|/admin/machines|405|only GET here",
                "POST|/admin/queue|405|only GET here",
                "POST|/admin/teams|405|only GET here",
                "POST|/admin/counters|405|only GET here",
                "POST|/admin/links|405|only GET here",
                "POST|/admin/admission|404|no such path",
                "POST|/admin/settings|400|revision: missing or not a whole number",
                "POST|/admin/settings/reset|400|revision: missing or not a whole number",
                "PUT|/admin/settings|405|only POST here",
                "PUT|/admin/leader|405|only POST here",
                "DELETE|/admin/settings/reset|405|only POST here",
                "POST|/ready|405|only GET here"
            })
    void pathsAndMethodsHaveTheExpectedStatuses(String method, String path, int status, String error) throws Exception {
        for (int controller : new int[] {leader, follower}) {
            ProcessCluster.Response response = cluster.send(controller, method, path, null);
            assertEquals(status, response.status(), response.body());
            if (error != null) {
                assertEquals("{\"error\":\"" + error + "\"}", response.body());
            }
            assertEquals("", response.retryAfter());
        }
    }

    @Test
    void readinessProbeSucceedsWithoutABody() throws Exception {
        ProcessCluster.Response ready = cluster.awaitResponse(follower, "/ready", response -> response.status() == 200);
        assertEquals(new ProcessCluster.Response(200, "", "", ""), ready);
    }

    /** Covers the whole path from the command line to the controller and back. */
    @Test
    void commandLineShowsAndCancelsJobs() throws Exception {
        String node = "--node=" + cluster.clientAddress(follower);
        submit("--id=job-5", "--team=blue", "--tasks=1", "--cpus=8", "--priority=idle", "--estimate-s=600");
        assertEquals(
                new CommandLineRunner.Outcome(
                        0, "{\"name_id\":\"job-5\",\"tide\":\"pending\",\"done\":0,\"running\":0}", ""),
                CommandLineRunner.run("status", node, "--json", "job-5"));
        assertEquals(
                new CommandLineRunner.Outcome(0, "job-5 cancelled, 0 tasks done, 0 running", ""),
                CommandLineRunner.run("withdraw", node, "job-5"));
        assertEquals(
                new CommandLineRunner.Outcome(3, "", "stileferry: refused with 404: no such job"),
                CommandLineRunner.run("status", node, "job-6"));
        assertEquals(
                new CommandLineRunner.Outcome(3, "", "stileferry: refused with 422: unknown team"),
                CommandLineRunner.run("submit", node, "--id=job-6", "--team=none"));
        assertTrue(CommandLineRunner.run("admin", "show", node, "teams").out().startsWith("{\n  \"teams\" : [ {"));
    }
}
