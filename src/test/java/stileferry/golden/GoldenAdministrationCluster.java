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
final class GoldenAdministrationCluster implements AutoCloseable {
    private static final int PORTS = 7;
    private static final int FIRST_PORT = 30_000;
    private static final int LAST_PORT = 32_000;
    private static final long PATIENCE_MS = 20_000;
    private static final String MAIN = "stileferry.cli.Main";

    private final List<Process> processes = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Path dir;
    private final int port;

    /** An answer: its status, its body as JSON (empty: none), and two of its headers (empty: none). */
    record Answer(int status, String body, String type, String retryAfter) {
        JsonNode json() throws IOException {
            return GoldenCommandLineStub.JSON.readTree(body);
        }
    }

    /** Starts stand-ins only. */
    GoldenAdministrationCluster(Path dir) throws Exception {
        this.dir = dir;
        this.port = freePorts();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroy)));
        start(MAIN, "stand-ins", "--dir", dir.toString(), "--port", "" + port, "--report-s", "1");
        long until = System.currentTimeMillis() + PATIENCE_MS;
        while (!Files.exists(dir.resolve("node-2.json")) && System.currentTimeMillis() < until) {
            Thread.sleep(20);
        }
    }

    /** The first of so many ports in a row that are free just now; others may look at the same time. */
    private static int freePorts() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int first = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            int free = 0;
            while (free < PORTS && isFree(first + free)) {
                free++;
            }
            if (free == PORTS) {
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

    private void start(String... command) throws IOException {
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
                dir.resolve("process-" + processes.size() + ".log").toFile());
        processes.add(builder.start());
    }

    /** Starts a controller; the features file may be null. */
    void serve(int controller, String features) throws IOException {
        List<String> command = new ArrayList<>(
                List.of(MAIN, "serve", "--config", config(controller).toString()));
        if (features != null) {
            command.addAll(List.of("--features", features));
        }
        start(command.toArray(String[]::new));
    }

    /** The settings file that the stand-ins wrote for a controller. */
    Path config(int controller) {
        return dir.resolve("node-" + controller + ".json");
    }

    /** What a process has printed so far, both outputs in one; 0: the stand-ins, then the controllers as started. */
    String printed(int process) throws IOException {
        return Files.readString(dir.resolve("process-" + process + ".log"));
    }

    /** Ends the stand-ins: state service, cloud and workers are gone. */
    void endStandIns() throws InterruptedException {
        end(processes.get(0));
    }

    private static void end(Process process) {
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
    String address(int controller) {
        return "127.0.0.1:" + (port + 1 + controller);
    }

    /** Asks once; the body is JSON (null: none) and goes as MessagePack. */
    Answer ask(int controller, String method, String path, String body) throws Exception {
        byte[] bytes = body == null
                ? new byte[0]
                : GoldenCommandLineStub.MESSAGE_PACK.writeValueAsBytes(GoldenCommandLineStub.JSON.readTree(body));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address(controller) + path))
                .method(method, HttpRequest.BodyPublishers.ofByteArray(bytes))
                .build();
        HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
        String text = response.body().length == 0
                ? ""
                : GoldenCommandLineStub.MESSAGE_PACK.readTree(response.body()).toString();
        return new Answer(
                response.statusCode(),
                text,
                response.headers().firstValue("Content-Type").orElse(""),
                response.headers().firstValue("Retry-After").orElse(""));
    }

    Answer get(int controller, String path) throws Exception {
        return ask(controller, "GET", path, null);
    }

    /** Asks again and again until the answer fits; the last answer if none does in time. */
    Answer await(int controller, String path, Predicate<Answer> fits) throws Exception {
        long until = System.currentTimeMillis() + PATIENCE_MS;
        Answer answer = new Answer(0, "", "", "");
        do {
            try {
                answer = get(controller, path);
                if (fits.test(answer)) {
                    return answer;
                }
            } catch (IOException problem) {
                answer = new Answer(0, problem.toString(), "", ""); // not yet listening
            }
            Thread.sleep(50);
        } while (System.currentTimeMillis() < until);
        return answer;
    }

    @Override
    public void close() {
        for (int last = processes.size() - 1; last >= 0; last--) {
            end(processes.get(last));
        }
    }
}
