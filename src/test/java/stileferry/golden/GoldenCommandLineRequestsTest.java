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

/** Pins what each command asks a controller for, and how it prints the answer as text and as JSON. */
class GoldenCommandLineRequestsTest {
    private static final String JOB = "{\"name_id\":\"job-7\",\"tide\":\"running\",\"done\":2,\"running\":3}";

    private static final String SETTINGS =
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

    private GoldenCommandLineStub controller;

    @BeforeEach
    void listen() throws IOException {
        controller = new GoldenCommandLineStub();
    }

    @AfterEach
    void close() {
        controller.close();
    }

    private GoldenCommandLineRunner.Outcome run(String command, String... more) {
        List<String> args = new ArrayList<>(Arrays.asList(command.split(" ")));
        args.add("--node=" + controller.address());
        args.addAll(Arrays.asList(more));
        return GoldenCommandLineRunner.run(args.toArray(String[]::new));
    }

    private static GoldenCommandLineRunner.Outcome done(String out) {
        return new GoldenCommandLineRunner.Outcome(0, out, "");
    }

    @ParameterizedTest
    @CsvSource({"status, GET /work/job-7", "withdraw, POST /work/job-7/withdraw"})
    void commandsAboutOneJobPrintItsState(String command, String request) {
        controller.answers(200, JOB);
        assertEquals(done("job-7 running, 2 tasks done, 3 running"), run(command, "job-7"));
        assertEquals(done(JOB), run(command, "--json", "job-7"));
        assertEquals(List.of(request, request), controller.requests());
    }

    @Test
    void submitWithoutFlagsAsksWithTheDefaults() {
        controller.answers(201, JOB);
        assertEquals(done("job-7 running, 2 tasks done, 3 running"), run("submit"));
        String expected =
                """
                POST /work {"name_id":"","berth":"default","crew":"","craft":"array","precedence":"normal",\
                "passengers":1,"cores":1.0,"gpus":0.0,"ram_gb":1.0,"cargo":"none","pull_gb":0.0,"harbor":null,\
                "same_place":false,"apart":false,"tender":false,"crossing_s":0.0,"waypoint_s":0.0,"stow_s":0.0}""";
        assertEquals(List.of(expected), controller.requests());
    }

    @Test
    void submitWithEveryFlagAsksWithEachValue() {
        controller.answers(201, JOB);
        String flags =
                """
                --json --id=job-8 --class=nightly --team=red --kind=gang --priority=urgent --tasks=3 --cpus=1.5
                --gpus=2 --memory-gb=4.5 --image=img --image-gb=5.5 --type=big,small --zone=north --one-zone
                --spread --spot --estimate-s=6.5 --checkpoint-s=7.5 --save-s=8.5 --deadline-s=9.5""";
        assertEquals(done(JOB), run("submit", flags.split("\\s+")));
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
    void submitTakesEachKindInAnyCase(String kind, String word) throws IOException {
        controller.answers(201, JOB);
        assertEquals(0, run("submit", "--kind", kind).exitCode());
        assertEquals(word, submitted("craft"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"critical", "urgent", "normal", "idle"})
    void submitTakesEachPriorityInAnyCase(String priority) throws IOException {
        for (String written : List.of(priority, priority.toUpperCase(Locale.ROOT))) {
            controller.answers(201, JOB);
            assertEquals(0, run("submit", "--priority", written).exitCode());
            assertEquals(priority, submitted("precedence"));
        }
    }

    private String submitted(String field) throws IOException {
        String request = controller.requests().get(0);
        return GoldenCommandLineStub.JSON
                .readTree(request.substring("POST /work ".length()))
                .path(field)
                .asText();
    }

    @Test
    void submitOfAFileAsksWithItsBodyAndIgnoresTheFlags(@TempDir Path dir) throws IOException {
        Path file = Files.writeString(dir.resolve("job.json"), "{\"name_id\":\"job-9\",\"any\":[1,true]}");
        controller.answers(200, JOB);
        assertEquals(done(JOB), run("submit", "--json", "--id=job-1", "--file", file.toString()));
        assertEquals(List.of("POST /work {\"name_id\":\"job-9\",\"any\":[1,true]}"), controller.requests());
    }

    @Test
    void adminGetPrintsTheSettings() {
        controller.answers(200, SETTINGS);
        assertEquals(done(SETTINGS_AS_TEXT), run("admin get"));
        assertEquals(done(SETTINGS), run("admin get", "--json"));
        assertEquals(List.of("GET /admin/settings", "GET /admin/settings"), controller.requests());
    }

    @Test
    void adminSetSendsNumbersFlagsAndTextsAndPrintsTheSettings() {
        controller.answers(200, SETTINGS);
        String[] change = {"--revision=3", "idle_boots=3.5", "preemption=false", "log_level=info", "other=[1]"};
        assertEquals(done(SETTINGS_AS_TEXT), run("admin set", change));
        String expected =
                """
                POST /admin/settings {"revision":3,"change":{"idle_boots":3.5,"preemption":false,\
                "log_level":"info","other":"[1]"}}""";
        assertEquals(List.of(expected), controller.requests());
        assertEquals(done(SETTINGS), run("admin set", "--json", "--revision=3", "idle_boots=3.5"));
    }

    @Test
    void adminResetSendsTheNamesOrNoneAndPrintsTheSettings() {
        controller.answers(200, SETTINGS);
        assertEquals(done(SETTINGS_AS_TEXT), run("admin reset", "--revision=3", "idle_boots", "preemption"));
        assertEquals(done(SETTINGS), run("admin reset", "--json", "--revision=4"));
        assertEquals(
                List.of(
                        "POST /admin/settings/reset {\"revision\":3,\"names\":[\"idle_boots\",\"preemption\"]}",
                        "POST /admin/settings/reset {\"revision\":4}"),
                controller.requests());
    }

    @ParameterizedTest
    @ValueSource(strings = {"leader", "machines", "queue", "teams", "counters", "links", "admission"})
    void adminShowAsksForEachViewAndPrintsJson(String view) {
        controller.answers(200, "{\"any\":[1],\"more\":true}");
        assertEquals(done("{\n  \"any\" : [ 1 ],\n  \"more\" : true\n}"), run("admin show", view));
        assertEquals(done("{\"any\":[1],\"more\":true}"), run("admin show", "--json", view.toUpperCase(Locale.ROOT)));
        assertEquals(0, run("admin show", "--from=host-2", view).exitCode());
        String path = "GET /admin/" + view;
        assertEquals(List.of(path, path, path + "?from=host-2"), controller.requests());
    }
}
