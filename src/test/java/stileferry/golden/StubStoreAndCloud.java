package stileferry.golden;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** An HTTP server that acts as key-value store and cloud: records requests and responds with literal messages. */
final class StubStoreAndCloud implements AutoCloseable {
    private final HttpServer server;
    private final Map<String, GoldenMessages.Message> responses = new ConcurrentHashMap<>();
    private final List<ReceivedRequest> receivedRequests = new CopyOnWriteArrayList<>();

    /** A request as it was received; the {@code Content-Type} header is null if absent. */
    record ReceivedRequest(String line, String contentType, byte[] body) {}

    StubStoreAndCloud() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Sets the response to requests with this method and path; all others get status 404 without a body. */
    void respondTo(String line, GoldenMessages.Message response) {
        responses.put(line, response);
    }

    /** Returns the first request with this method and path; fails the test if there was none. */
    ReceivedRequest firstRequest(String line) {
        return receivedRequests.stream()
                .filter(request -> request.line.equals(line))
                .findFirst()
                .orElseThrow(() -> new AssertionError("request not received: " + line));
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String line = exchange.getRequestMethod() + " " + exchange.getRequestURI();
        receivedRequests.add(
                new ReceivedRequest(line, exchange.getRequestHeaders().getFirst("Content-Type"), body));
        GoldenMessages.Message response = responses.get(line);
        byte[] responseBytes = response == null ? new byte[0] : response.body();
        exchange.sendResponseHeaders(
                response == null ? 404 : response.status(), responseBytes.length == 0 ? -1 : responseBytes.length);
        exchange.getResponseBody().write(responseBytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
