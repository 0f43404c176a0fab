package stileferry.golden;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Real controllers and stand-ins on loopback, each a process started by its command, and asked over HTTP: nothing of
 * the code under test is called. Bodies are written and read by the MessagePack library itself.
 */
final class ProcessCluster implements AutoCloseable {
    private static final int PORT_COUNT = 7;
    private static final int MIN_BASE_PORT = 30_000;
    private static final int BASE_PORT_LIMIT = 32_000;
    private static final long AWAIT_TIMEOUT_MS = 20_000;
    private static final String MAIN_CLASS = "stileferry.cli.Main";

    private final List<Process> processes = new ArrayList<>();
    private final HttpClient httpClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Path directory;
    private final int basePort;

    /** An answer: its status, its body as JSON (empty: none), and two of its headers (empty: none). */
    record Response(int status, String body, String contentType, String retryAfter) {
        JsonNode json() throws IOException {
            return StubController.JSON.readTree(body);
        }
    }

    /** Starts stand-ins only. */
    ProcessCluster(Path dir) throws Exception {
        this.directory = dir;
        this.basePort = findFreePortRange();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroy)));
        startProcess(MAIN_CLASS, "stand-ins", "--dir", dir.toString(), "--port", "" + basePort, "--report-s", "1");
        long until = System.currentTimeMillis() + AWAIT_TIMEOUT_MS;
        while (!Files.exists(dir.resolve("node-2.json")) && System.currentTimeMillis() < until) {
            Thread.sleep(20);
        }
    }

    /** The first of so many ports in a row that are free just now; others may look at the same time. */
    private static int findFreePortRange() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int first = ThreadLocalRandom.current().nextInt(MIN_BASE_PORT, BASE_PORT_LIMIT);
            int free = 0;
            while (free < PORT_COUNT && isFree(first + free)) {
                free++;
            }
            if (free == PORT_COUNT) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException problem) {
            return false;
        }
    }

    private void startProcess(String... command) throws IOException {
        List<String> whole = new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path")));
        whole.addAll(Arrays.asList(command));
        ProcessBuilder builder = new ProcessBuilder(whole).redirectErrorStream(true);
        builder.environment().remove("LOG_LEVEL"); // that of whoever runs the tests says nothing here
        builder.redirectOutput(
                directory.resolve("process-" + processes.size() + ".log").toFile());
        processes.add(builder.start());
    }

    /** Starts a controller; the features file may be null. */
    void startController(int controller, String features) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                MAIN_CLASS, "serve", "--config", settingsFile(controller).toString()));
        if (features != null) {
            command.addAll(List.of("--features", features));
        }
        startProcess(command.toArray(String[]::new));
    }

    /** The settings file that the stand-ins wrote for a controller. */
    Path settingsFile(int controller) {
        return directory.resolve("node-" + controller + ".json");
    }

    /** What a process has printed so far, both outputs in one; 0: the stand-ins, then the controllers as started. */
    String outputOf(int process) throws IOException {
        return Files.readString(directory.resolve("process-" + process + ".log"));
    }

    /** Ends the stand-ins: state service, cloud and workers are gone. */
    void stopStandIns() throws InterruptedException {
        stop(processes.get(0));
    }

    private static void stop(Process process) {
        process.destroy();
        try {
            if (!process.waitFor(5, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }

    /** The client address of a controller. */
    String clientAddress(int controller) {
        return "127.0.0.1:" + (basePort + 1 + controller);
    }

    /** Asks once; the body is JSON (null: none) and goes as MessagePack. */
    Response send(int controller, String method, String path, String body) throws Exception {
        byte[] bytes = body == null
                ? new byte[0]
                : StubController.MESSAGE_PACK.writeValueAsBytes(StubController.JSON.readTree(body));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + clientAddress(controller) + path))
                .method(method, HttpRequest.BodyPublishers.ofByteArray(bytes))
                .build();
        HttpResponse<byte[]> response = httpClient.send(request, HttpResponse.BodyHandlers.ofByteArray());
        String text = response.body().length == 0
                ? ""
                : StubController.MESSAGE_PACK.readTree(response.body()).toString();
        return new Response(
                response.statusCode(),
                text,
                response.headers().firstValue("Content-Type").orElse(""),
                response.headers().firstValue("Retry-After").orElse(""));
    }

    Response get(int controller, String path) throws Exception {
        return send(controller, "GET", path, null);
    }

    /** Asks again and again until the answer fits; the last answer if none does in time. */
    Response awaitResponse(int controller, String path, Predicate<Response> fits) throws Exception {
        long until = System.currentTimeMillis() + AWAIT_TIMEOUT_MS;
        Response answer = new Response(0, "", "", "");
        do {
            try {
                answer = get(controller, path);
                if (fits.test(answer)) {
                    return answer;
                }
            } catch (IOException problem) {
                answer = new Response(0, problem.toString(), "", ""); // not yet listening
            }
            Thread.sleep(50);
        } while (System.currentTimeMillis() < until);
        return answer;
    }

    @Override
    public void close() {
        for (int last = processes.size() - 1; last >= 0; last--) {
            stop(processes.get(last));
        }
    }
}
