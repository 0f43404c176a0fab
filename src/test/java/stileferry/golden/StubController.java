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
 * An HTTP server that takes a controller's place in tests of the command line: it returns one literal response to every
 * request and records the requests. Bodies are converted with the MessagePack library itself, not by the code under
 * test.
 */
final class StubController implements AutoCloseable {
    /** Converts bodies from and to the form used on the wire. */
    static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory());

    /** Converts bodies from and to the form used in the tests. */
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

    /** Returns the address of the server, in the form that the {@code --node} flag takes. */
    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Sets the status and JSON body (empty for none) of all further responses, and clears the recorded requests. */
    void respondWith(int newStatus, String json) {
        status = newStatus;
        responseJson = json;
        requests.clear();
    }

    /** Returns each recorded request as one line: method, path with query, and the body as JSON if there is one. */
    List<String> requests() {
        return List.copyOf(requests);
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] requestBytes = exchange.getRequestBody().readAllBytes();
        JsonNode requestBody = requestBytes.length == 0 ? null : MESSAGE_PACK.readTree(requestBytes);
        requests.add(exchange.getRequestMethod() + " " + exchange.getRequestURI()
                + (requestBody == null ? "" : " " + requestBody));
        byte[] responseBytes =
                responseJson.isEmpty() ? new byte[0] : MESSAGE_PACK.writeValueAsBytes(JSON.readTree(responseJson));
        exchange.sendResponseHeaders(status, responseBytes.length == 0 ? -1 : responseBytes.length);
        if (responseBytes.length > 0) {
            exchange.getResponseBody().write(responseBytes);
        }
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
