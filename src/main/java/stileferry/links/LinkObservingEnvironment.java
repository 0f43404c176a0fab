package stileferry.links;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;

/** An environment that reports the outcome of every request, so that regular traffic shows whether links work. */
final class LinkObservingEnvironment implements Environment {
    private final Environment delegate;
    private final Observer observer;

    /** Receives the outcomes of requests. */
    interface Observer {
        /** Called with the outcome of a request to an address: an HTTP status, or one of {@link Environment}'s. */
        void requestCompleted(String address, int status);

        /** Called when a message to another controller has received a reply or has failed. */
        void peerRequestCompleted(String controller, boolean answered);
    }

    LinkObservingEnvironment(Environment delegate, Observer observer) {
        this.delegate = delegate;
        this.observer = observer;
    }

    @Override
    public long now() {
        return delegate.now();
    }

    @Override
    public long timeOfDay() {
        return delegate.timeOfDay();
    }

    @Override
    public RandomGenerator random() {
        return delegate.random();
    }

    @Override
    public void setLogLevel(String level) {
        delegate.setLogLevel(level);
    }

    @Override
    public long usedHeapMb() {
        return delegate.usedHeapMb();
    }

    @Override
    public long maxHeapMb() {
        return delegate.maxHeapMb();
    }

    @Override
    public long openConnections() {
        return delegate.openConnections();
    }

    @Override
    public void schedule(long delayMs, Runnable task) {
        delegate.schedule(delayMs, task);
    }

    @Override
    public void request(
            String address, String method, String path, JsonNode body, long timeoutMs, ResponseHandler handler) {
        delegate.request(address, method, path, body, timeoutMs, (status, responseBody) -> {
            observer.requestCompleted(address, status);
            handler.onResponse(status, responseBody);
        });
    }

    @Override
    public void sendToPeer(Settings.Peer peer, PeerMessage message, long timeoutMs, Consumer<PeerMessage> reply) {
        delegate.sendToPeer(peer, message, timeoutMs, answer -> {
            observer.peerRequestCompleted(peer.name(), answer != null);
            reply.accept(answer);
        });
    }
}
