package stileferry.cli;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stileferry.Controller;
import stileferry.transport.StandInServer;

/**
 * Far more concurrent requests and connections on loopback than the controller's limits allow, bounded in number and
 * time.
 */
class OverloadTest {
    private static final int REQUESTS = 3000;
    private static final long MAX_P90_MS = 1500;

    @TempDir
    private Path dir;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private record ObservedResponse(int status, long tookMs, boolean retryAfter) {}

    private int status(URI uri) throws Exception {
        return client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }

    /** Sends all requests, at most this number of them concurrently, and returns the observed responses. */
    private List<ObservedResponse> load(URI uri, int inProgress) throws InterruptedException {
        List<ObservedResponse> seen = Collections.synchronizedList(new ArrayList<>());
        List<CompletableFuture<?>> all = new ArrayList<>();
        Semaphore slots = new Semaphore(inProgress);
        for (int i = 0; i < REQUESTS; i++) {
            slots.acquire();
            long sentAt = System.nanoTime();
            all.add(client.sendAsync(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.discarding())
                    .whenComplete((response, failure) -> {
                        slots.release();
                        seen.add(new ObservedResponse(
                                response == null ? 0 : response.statusCode(),
                                (System.nanoTime() - sentAt) / 1_000_000,
                                response != null
                                        && response.headers()
                                                .firstValue("Retry-After")
                                                .isPresent()));
                    }));
        }
        CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0]))
                .exceptionally(e -> null)
                .join();
        return seen;
    }

    private static long percentile(List<ObservedResponse> seen, int percent) {
        List<Long> times = seen.stream()
                .filter(s -> s.status == 404)
                .map(ObservedResponse::tookMs)
                .sorted()
                .toList();
        return times.get(times.size() * percent / 100);
    }

    /**
     * Sends a readiness request on a keep-alive connection; returns the response, empty if the connection was closed.
     */
    private static String requestReadiness(Socket connection) throws IOException {
        connection.setSoTimeout(5000);
        connection.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(US_ASCII));
        byte[] response = new byte[1024];
        int length = connection.getInputStream().read(response);
        return length < 0 ? "" : new String(response, 0, length, US_ASCII);
    }

    /**
     * Guards against users who keep connections open: at the connection limit, nobody else could connect, not even
     * workers.
     */
    @Test
    void keptAliveConnectionsDoNotExhaustConnectionLimit() throws Exception {
        int port = Ports.findFreeRange(7);
        Path file = dir.resolve("few.json");
        try (StandInServer standIns = StandIns.start(port, dir)) {
            assertEquals("127.0.0.1:" + port, standIns.address());
            Files.writeString(file, Files.readString(dir.resolve("node-0.json")).replace("1000}", "200}"));
            List<Socket> connections = new ArrayList<>();
            try (Controller controller = Controller.builder()
                    .settings(SettingsFile.read(file).settings())
                    .build()) {
                controller.start();
                int closing = 0;
                for (int i = 0; i < 300; i++) { // the limit is 156 connections
                    Socket connection = new Socket("127.0.0.1", port + 1);
                    connections.add(connection);
                    String response = requestReadiness(connection);
                    assertTrue(response.startsWith("HTTP/1.1 "), "connection " + i + " received '" + response + "'");
                    closing += response.toLowerCase(Locale.ROOT).contains("connection: close") ? 1 : 0;
                }
                assertTrue(closing > 150 && closing < 200, closing + " connections were closed by the controller");
            } finally {
                for (Socket connection : connections) {
                    connection.close();
                }
            }
        }
    }

    @Test
    void excessRequestsAreRejectedAndAcceptedOnesStayFast() throws Exception {
        int port = Ports.findFreeRange(7);
        try (StandInServer standIns = StandIns.start(port, dir);
                Controller controller = Controller.builder()
                        .settings(SettingsFile.read(dir.resolve("node-0.json")).settings())
                        .build()) {
            assertEquals("127.0.0.1:" + port, standIns.address());
            controller.start();
            String base = "http://127.0.0.1:" + (port + 1);
            URI unknownJob = URI.create(base + "/work/job-404"); // read from the rate-limited key-value store
            for (int i = 0; i < 200 && status(unknownJob) != 404; i++) {
                Thread.sleep(50);
            }
            List<ObservedResponse> firstLoad = load(unknownJob, 300);
            List<ObservedResponse> doubleLoad = load(unknownJob, 600);
            for (List<ObservedResponse> seen : List.of(firstLoad, doubleLoad)) {
                assertEquals(REQUESTS, seen.size());
                assertTrue(
                        seen.stream().allMatch(s -> s.status == 404 || s.status == 503 && s.retryAfter),
                        "every request must be answered, or rejected with a Retry-After header");
                assertTrue(seen.stream().anyMatch(s -> s.status == 503), "the load must exceed the limit");
                assertTrue(
                        percentile(seen, 90) < MAX_P90_MS,
                        "90th percentile of accepted requests: " + percentile(seen, 90) + " ms");
            }
            assertEquals(200, status(URI.create(base + "/ready")), "health checks must not be starved");
        }
    }
}
