package stileferry.transport;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import stileferry.coordination.Coordinator;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.PeerMessageCodec;

/** The address for the other controllers. */
final class PeerServer implements HttpHandler {
    private final CommandQueue owner;
    private final Coordinator coordinator;

    PeerServer(CommandQueue owner, Coordinator coordinator) {
        this.owner = owner;
        this.coordinator = coordinator;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (!exchange.getRequestPath().equals(NetworkEnvironment.PEER_PATH)) {
            ApiServer.refuse(exchange, 404, "no such path");
            return;
        }
        RequestBodyReader.read(exchange, 2 * MessageCodec.MAX_BODY, body -> {
            PeerMessage record = PeerMessageCodec.decode(body);
            if (record == null) {
                ApiServer.refuse(exchange, 400, "not a record");
                return;
            }
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                if (!owner.offer(() -> coordinator.handlePeerMessage(
                        record, answer -> ApiServer.send(exchange, 200, 0, PeerMessageCodec.encode(answer))))) {
                    ApiServer.refuse(exchange, 503, "too much to do, try again");
                }
            });
        });
    }
}
