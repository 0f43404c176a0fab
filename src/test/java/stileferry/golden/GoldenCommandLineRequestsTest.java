package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Pins the request that each command sends to a controller, and how it prints the response as text and as JSON. */
class GoldenCommandLineRequestsTest {
    private static final String JOB_RESPONSE = "{\"name_id\":\"job-7\",\"tide\":\"running\",\"done\":2,\"running\":3}";

    private static final String SETTINGS_RESPONSE =
            """
            {"revision":4,"settings":[\
            {"name":"idle_boots","value":3.5,"default":2.0,"least":0.5,"most":1000.0,"meaning":"a number"},\
            {"name":"preemption","value":false,"default":true,"meaning":"a flag"},\
            {"name":"log_level","value":"info","default":"default","choices":["default","info"],\
            "meaning":"a text"}]}""";

    private static final String SETTINGS_AS_TEXT =
            """
            revision 4
            idle_boots           3.5      (default 2.0, 0.5 to 1000.0) a number
            preemption           false    (default true) a flag
            log_level            info     (default default, ["default","info"]) a text""";

    private StubController controller;

    @BeforeEach
    void startController() throws IOException {
        controller = new StubController();
    }

    @AfterEach
    void stopController() {
        controller.close();
    }

    private CommandLineRunner.Outcome run(String command, String... moreArguments) {
        List<String> arguments = new ArrayList<>(Arrays.asList(command.split(" ")));
        arguments.add("--node=" + controller.address());
        arguments.addAll(Arrays.asList(moreArguments));
        return CommandLineRunner.run(arguments.toArray(String[]::new));
    }

    private static CommandLineRunner.Outcome success(String out) {
        return new CommandLineRunner.Outcome(0, out, "");
    }

    @ParameterizedTest
    @CsvSource({"status, GET /work/job-7", "withdraw, POST /work/job-7/withdraw"})
    void statusAndWithdrawPrintTheJobState(String command, String request) {
        controller.respondWith(200, JOB_RESPONSE);
        assertEquals(success("job-7 running, 2 tasks done, 3 running"), run(command, "job-7"));
        assertEquals(success(JOB_RESPONSE), run(command, "--json", "job-7"));
        assertEquals(List.of(request, request), controller.requests());
    }

    @Test
    void submitWithoutFlagsSendsTheDefaults() {
        controller.respondWith(201, JOB_RESPONSE);
        assertEquals(success("job-7 running, 2 tasks done, 3 running"), run("submit"));
        String expected =
                """
                POST /work {"name_id":"","berth":"default","crew":"","craft":"array","precedence":"normal",\
                "passengers":1,"cores":1.0,"gpus":0.0,"ram_gb":1.0,"cargo":"none","pull_gb":0.0,"harbor":null,\
                "same_place":false,"apart":false,"tender":false,"crossing_s":0.0,"waypoint_s":0.0,"stow_s":0.0}""";
        assertEquals(List.of(expected), controller.requests());
    }

    @Test
    void submitSendsTheValueOfEveryFlag() {
        controller.respondWith(201, JOB_RESPONSE);
        String flags =
                """
                --json --id=job-8 --class=nightly --team=red --kind=gang --priority=urgent --tasks=3 --cpus=1.5
                --gpus=2 --memory-gb=4.5 --image=img --image-gb=5.5 --type=big,small --zone=north --one-zone
                --spread --spot --estimate-s=6.5 --checkpoint-s=7.5 --save-s=8.5 --deadline-s=9.5""";
        assertEquals(success(JOB_RESPONSE), run("submit", flags.split("\\s+")));
        String expected =
                """
                POST /work {"name_id":"job-8","berth":"nightly","crew":"red","craft":"group",\
                "precedence":"urgent","passengers":3,"cores":1.5,"gpus":2.0,"ram_gb":4.5,"cargo":"img",\
                "pull_gb":5.5,"hulls":["big","small"],"harbor":"north","same_place":true,"apart":true,\
                "tender":true,"crossing_s":6.5,"waypoint_s":7.5,"stow_s":8.5,"moor_by_s":9.5}""";
        assertEquals(List.of(expected), controller.requests());
    }

    @ParameterizedTest
    @CsvSource({"array, array", "ARRAY, array", "service, standing", "Service, standing", "gang, group"})
    void submitAcceptsEachKindInAnyCase(String kind, String wireName) throws IOException {
        controller.respondWith(201, JOB_RESPONSE);
        assertEquals(0, run("submit", "--kind", kind).exitCode());
        assertEquals(wireName, submittedField("craft"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"critical", "urgent", "normal", "idle"})
    void submitAcceptsEachPriorityInAnyCase(String priority) throws IOException {
        for (String written : List.of(priority, priority.toUpperCase(Locale.ROOT))) {
            controller.respondWith(201, JOB_RESPONSE);
            assertEquals(0, run("submit", "--priority", written).exitCode());
            assertEquals(priority, submittedField("precedence"));
        }
    }

    private String submittedField(String field) throws IOException {
        String request = controller.requests().get(0);
        return StubController.JSON
                .readTree(request.substring("POST /work ".length()))
                .path(field)
                .asText();
    }

    @Test
    void submitSendsTheJobFileAndIgnoresTheFlags(@TempDir Path dir) throws IOException {
        Path file = Files.writeString(dir.resolve("job.json"), "{\"name_id\":\"job-9\",\"any\":[1,true]}");
        controller.respondWith(200, JOB_RESPONSE);
        assertEquals(success(JOB_RESPONSE), run("submit", "--json", "--id=job-1", "--file", file.toString()));
        assertEquals(List.of("POST /work {\"name_id\":\"job-9\",\"any\":[1,true]}"), controller.requests());
    }

    @Test
    void adminGetPrintsTheSettings() {
        controller.respondWith(200, SETTINGS_RESPONSE);
        assertEquals(success(SETTINGS_AS_TEXT), run("admin get"));
        assertEquals(success(SETTINGS_RESPONSE), run("admin get", "--json"));
        assertEquals(List.of("GET /admin/settings", "GET /admin/settings"), controller.requests());
    }

    @Test
    void adminSetSendsTypedValuesAndPrintsTheSettings() {
        controller.respondWith(200, SETTINGS_RESPONSE);
        String[] change = {"--revision=3", "idle_boots=3.5", "preemption=false", "log_level=info", "other=[1]"};
        assertEquals(success(SETTINGS_AS_TEXT), run("admin set", change));
        String expected =
                """
                POST /admin/settings {"revision":3,"change":{"idle_boots":3.5,"preemption":false,\
                "log_level":"info","other":"[1]"}}""";
        assertEquals(List.of(expected), controller.requests());
        assertEquals(success(SETTINGS_RESPONSE), run("admin set", "--json", "--revision=3", "idle_boots=3.5"));
    }

    @Test
    void adminResetSendsTheGivenNamesAndPrintsTheSettings() {
        controller.respondWith(200, SETTINGS_RESPONSE);
        assertEquals(success(SETTINGS_AS_TEXT), run("admin reset", "--revision=3", "idle_boots", "preemption"));
        assertEquals(success(SETTINGS_RESPONSE), run("admin reset", "--json", "--revision=4"));
        assertEquals(
                List.of(
                        "POST /admin/settings/reset {\"revision\":3,\"names\":[\"idle_boots\",\"preemption\"]}",
                        "POST /admin/settings/reset {\"revision\":4}"),
                controller.requests());
    }

    @ParameterizedTest
    @ValueSource(strings = {"leader", "machines", "queue", "teams", "counters", "links", "admission"})
    void adminShowRequestsEachViewAndPrintsJson(String view) {
        controller.respondWith(200, "{\"any\":[1],\"more\":true}");
        assertEquals(success("{\n  \"any\" : [ 1 ],\n  \"more\" : true\n}"), run("admin show", view));
        assertEquals(
                success("{\"any\":[1],\"more\":true}"), run("admin show", "--json", view.toUpperCase(Locale.ROOT)));
        assertEquals(0, run("admin show", "--from=host-2", view).exitCode());
        String path = "GET /admin/" + view;
        assertEquals(List.of(path, path, path + "?from=host-2"), controller.requests());
    }
}
