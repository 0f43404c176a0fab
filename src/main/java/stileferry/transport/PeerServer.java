package stileferry.transport;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import stileferry.coordination.Coordinator;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessageCodec;

/** HTTP server for messages from the other controllers. */
final class PeerServer implements HttpHandler {
    private final CommandQueue commands;
    private final Coordinator coordinator;

    PeerServer(CommandQueue commands, Coordinator coordinator) {
        this.commands = commands;
        this.coordinator = coordinator;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (!exchange.getRequestPath().equals(NetworkEnvironment.PEER_PATH)) {
            ApiServer.reject(exchange, 404, "no such path");
            return;
        }
        RequestBodyReader.read(exchange, 2 * MessageCodec.MAX_BODY_BYTES, body -> {
            PeerMessage message = PeerMessageCodec.decode(body);
            if (message == null) {
                ApiServer.reject(exchange, 400, "not a record");
                return;
            }
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                if (!commands.offer(() -> coordinator.handlePeerMessage(
                        message, response -> ApiServer.send(exchange, 200, 0, PeerMessageCodec.encode(response))))) {
                    ApiServer.reject(exchange, 503, "too much to do, try again");
                }
            });
        });
    }
}
