package stileferry.links;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;

/** An environment that reports the outcome of every request, so that links are judged by the real traffic. */
final class LinkObservingEnvironment implements Environment {
    private final Environment delegate;
    private final Observer observer;

    /** Takes the outcomes. */
    interface Observer {
        /** A request to an address had this outcome: an HTTP status, or one of {@link Environment}'s. */
        void requestCompleted(String address, int status);

        /** A record was sent to another controller, and was answered or not. */
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
    public void schedule(long delayMs, Runnable task) {
        delegate.schedule(delayMs, task);
    }

    @Override
    public void request(
            String address, String method, String path, JsonNode body, long timeoutMs, ResponseHandler reply) {
        delegate.request(address, method, path, body, timeoutMs, (status, answer) -> {
            observer.requestCompleted(address, status);
            reply.onResponse(status, answer);
        });
    }

    @Override
    public void sendToPeer(Settings.Peer peer, PeerMessage record, long timeoutMs, Consumer<PeerMessage> reply) {
        delegate.sendToPeer(peer, record, timeoutMs, answer -> {
            observer.peerRequestCompleted(peer.name(), answer != null);
            reply.accept(answer);
        });
    }
}
