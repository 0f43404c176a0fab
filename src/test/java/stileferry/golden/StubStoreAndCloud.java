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

/** The state service and the cloud in one on a loopback address: records requests and answers with literal messages. */
final class StubStoreAndCloud implements AutoCloseable {
    private final HttpServer server;
    private final Map<String, GoldenMessages.Message> responses = new ConcurrentHashMap<>();
    private final List<ReceivedRequest> receivedRequests = new CopyOnWriteArrayList<>();

    /** One request as it arrived, with the header that names its body's format (null: none). */
    record ReceivedRequest(String line, String contentType, byte[] body) {}

    StubStoreAndCloud() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** From now on requests with this line get this answer; all others get 404 without a body. */
    void respondTo(String line, GoldenMessages.Message answer) {
        responses.put(line, answer);
    }

    /** The first request with this line. */
    ReceivedRequest firstRequest(String line) {
        return receivedRequests.stream()
                .filter(request -> request.line.equals(line))
                .findFirst()
                .orElseThrow(() -> new AssertionError("not received: " + line));
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String line = exchange.getRequestMethod() + " " + exchange.getRequestURI();
        receivedRequests.add(
                new ReceivedRequest(line, exchange.getRequestHeaders().getFirst("Content-Type"), body));
        GoldenMessages.Message answer = responses.get(line);
        byte[] bytes = answer == null ? new byte[0] : answer.body();
        exchange.sendResponseHeaders(answer == null ? 404 : answer.status(), bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
