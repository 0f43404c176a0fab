package stileferry.golden;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Stands for a controller towards the command line: gives one literal answer and keeps what was asked. Bodies are
 * written and read by the MessagePack library itself, not by the code under test.
 */
final class StubController implements AutoCloseable {
    /** Bodies as they go over the wire. */
    static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory());

    /** Bodies as people read them. */
    static final ObjectMapper JSON = new ObjectMapper();

    private final HttpServer server;
    private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
    private volatile int status = 200;
    private volatile String responseJson = "{}";

    StubController() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.start();
    }

    /** Where it listens, as commands name it. */
    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Sets the status and the body (JSON; empty: none) of the answers from now on, and forgets what was asked. */
    void respondWith(int newStatus, String json) {
        status = newStatus;
        responseJson = json;
        requests.clear();
    }

    /** What was asked: method, path with query, and the body as JSON, one text each. */
    List<String> requests() {
        return List.copyOf(requests);
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] asked = exchange.getRequestBody().readAllBytes();
        JsonNode body = asked.length == 0 ? null : MESSAGE_PACK.readTree(asked);
        requests.add(exchange.getRequestMethod() + " " + exchange.getRequestURI() + (body == null ? "" : " " + body));
        byte[] bytes =
                responseJson.isEmpty() ? new byte[0] : MESSAGE_PACK.writeValueAsBytes(JSON.readTree(responseJson));
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
