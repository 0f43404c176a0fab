package stileferry.transport;

import io.undertow.server.HttpServerExchange;
import java.util.function.Consumer;

/** Reads request bodies without blocking; a longer body is rejected with 413 and not read to its end. */
final class RequestBodyReader {
    private RequestBodyReader() {}

    static void read(HttpServerExchange exchange, int maxBytes, Consumer<byte[]> handler) {
        if (exchange.getRequestContentLength() > maxBytes) {
            rejectTooLarge(exchange);
            return;
        }
        exchange.setMaxEntitySize(maxBytes); // covers chunked bodies, which have no Content-Length
        exchange.getRequestReceiver()
                .receiveFullBytes((received, body) -> handler.accept(body), (failed, cause) -> rejectTooLarge(failed));
    }

    private static void rejectTooLarge(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        ApiServer.reject(exchange, 413, "the body is too large");
    }
}
