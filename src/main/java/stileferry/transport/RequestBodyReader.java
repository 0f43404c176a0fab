package stileferry.transport;

import io.undertow.server.HttpServerExchange;
import java.util.function.Consumer;

/** Reads request bodies up to a limit, without waiting and without reading what is too long. */
final class RequestBodyReader {
    private RequestBodyReader() {}

    static void read(HttpServerExchange exchange, int maxBytes, Consumer<byte[]> handler) {
        if (exchange.getRequestContentLength() > maxBytes) {
            rejectTooLarge(exchange);
            return;
        }
        exchange.setMaxEntitySize(maxBytes); // also for bodies in chunks, whose length nobody announces
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> handler.accept(body), (failed, problem) -> rejectTooLarge(failed));
    }

    private static void rejectTooLarge(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        ApiServer.reject(exchange, 413, "the body is too large");
    }
}
