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
 * Runs real controllers, and stand-ins for the services they depend on, on the loopback interface. Each is a process
 * started by its command line and is addressed over HTTP, so no code under test is called directly. Request and
 * response bodies are converted with the MessagePack library itself.
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

    /** An HTTP response: status, body as JSON, and two headers. Body and headers are empty if absent. */
    record Response(int status, String body, String contentType, String retryAfter) {
        JsonNode json() throws IOException {
            return StubController.JSON.readTree(body);
        }
    }

    /** Starts the stand-ins and waits until they have written the settings files; starts no controller. */
    ProcessCluster(Path dir) throws Exception {
        this.directory = dir;
        this.basePort = findFreePortRange();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroy)));
        startProcess(MAIN_CLASS, "stand-ins", "--dir", dir.toString(), "--port", "" + basePort, "--report-s", "1");
        long deadlineMs = System.currentTimeMillis() + AWAIT_TIMEOUT_MS;
        while (!Files.exists(dir.resolve("node-2.json")) && System.currentTimeMillis() < deadlineMs) {
            Thread.sleep(20);
        }
    }

    /**
     * Returns the first of {@link #PORT_COUNT} consecutive ports that are free at the moment. Another process may still
     * take one of them before they are used.
     */
    private static int findFreePortRange() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int firstPort = ThreadLocalRandom.current().nextInt(MIN_BASE_PORT, BASE_PORT_LIMIT);
            int freeCount = 0;
            while (freeCount < PORT_COUNT && isFree(firstPort + freeCount)) {
                freeCount++;
            }
            if (freeCount == PORT_COUNT) {
                return firstPort;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    private void startProcess(String... command) throws IOException {
        List<String> fullCommand = new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path")));
        fullCommand.addAll(Arrays.asList(command));
        ProcessBuilder builder = new ProcessBuilder(fullCommand).redirectErrorStream(true);
        builder.environment().remove("LOG_LEVEL"); // the log level of the test run's own environment must not apply
        builder.redirectOutput(
                directory.resolve("process-" + processes.size() + ".log").toFile());
        processes.add(builder.start());
    }

    /** Starts a controller; if the features file is null, all optional features are off. */
    void startController(int controller, String features) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                MAIN_CLASS, "serve", "--config", settingsFile(controller).toString()));
        if (features != null) {
            command.addAll(List.of("--features", features));
        }
        startProcess(command.toArray(String[]::new));
    }

    /** Returns the settings file that the stand-ins wrote for a controller. */
    Path settingsFile(int controller) {
        return directory.resolve("node-" + controller + ".json");
    }

    /**
     * Returns the standard output and standard error of a process so far, merged.
     *
     * @param process 0 for the stand-ins, from 1 on the controllers in the order in which they were started
     */
    String outputOf(int process) throws IOException {
        return Files.readString(directory.resolve("process-" + process + ".log"));
    }

    /** Stops the stand-ins, so that the key-value store, the cloud and the workers can no longer be reached. */
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

    /** Returns the address at which a controller listens for clients. */
    String clientAddress(int controller) {
        return "127.0.0.1:" + (basePort + 1 + controller);
    }

    /** Sends one request without retries. The body is JSON, or null for none, and is sent as MessagePack. */
    Response send(int controller, String method, String path, String body) throws Exception {
        byte[] bytes = body == null
                ? new byte[0]
                : StubController.MESSAGE_PACK.writeValueAsBytes(StubController.JSON.readTree(body));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + clientAddress(controller) + path))
                .method(method, HttpRequest.BodyPublishers.ofByteArray(bytes))
                .build();
        HttpResponse<byte[]> response = httpClient.send(request, HttpResponse.BodyHandlers.ofByteArray());
        String json = response.body().length == 0
                ? ""
                : StubController.MESSAGE_PACK.readTree(response.body()).toString();
        return new Response(
                response.statusCode(),
                json,
                response.headers().firstValue("Content-Type").orElse(""),
                response.headers().firstValue("Retry-After").orElse(""));
    }

    Response get(int controller, String path) throws Exception {
        return send(controller, "GET", path, null);
    }

    /**
     * Repeats a GET request until its response is accepted, for at most {@link #AWAIT_TIMEOUT_MS}.
     *
     * @return the first accepted response, or the last one if none was accepted in time; status 0
     *     stands for a failed request
     */
    Response awaitResponse(int controller, String path, Predicate<Response> accepted) throws Exception {
        long deadlineMs = System.currentTimeMillis() + AWAIT_TIMEOUT_MS;
        Response lastResponse = new Response(0, "", "", "");
        do {
            try {
                lastResponse = get(controller, path);
                if (accepted.test(lastResponse)) {
                    return lastResponse;
                }
            } catch (IOException e) {
                lastResponse = new Response(0, e.toString(), "", ""); // the controller does not listen yet
            }
            Thread.sleep(50);
        } while (System.currentTimeMillis() < deadlineMs);
        return lastResponse;
    }

    @Override
    public void close() {
        for (int index = processes.size() - 1; index >= 0; index--) {
            stop(processes.get(index));
        }
    }
}
