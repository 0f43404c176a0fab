package stileferry.links;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;

/** The outside with an eye on the outcome of every request, so that links are judged by the real traffic. */
final class LinkObservingEnvironment implements Environment {
    private final Environment plain;
    private final Observer observer;

    /** Told of outcomes. */
    interface Observer {
        /** A request to an address had this outcome: an HTTP status, or one of {@link Environment}'s. */
        void requested(String addr, int status);

        /** A record was sent to another controller, and was answered or not. */
        void exchanged(String controller, boolean answered);
    }

    LinkObservingEnvironment(Environment plain, Observer observer) {
        this.plain = plain;
        this.observer = observer;
    }

    @Override
    public long now() {
        return plain.now();
    }

    @Override
    public long timeOfDay() {
        return plain.timeOfDay();
    }

    @Override
    public RandomGenerator random() {
        return plain.random();
    }

    @Override
    public void setLogLevel(String level) {
        plain.setLogLevel(level);
    }

    @Override
    public void schedule(long delayMs, Runnable task) {
        plain.schedule(delayMs, task);
    }

    @Override
    public void request(String addr, String method, String path, JsonNode body, long timeoutMs, ResponseHandler reply) {
        plain.request(addr, method, path, body, timeoutMs, (status, answer) -> {
            observer.requested(addr, status);
            reply.onResponse(status, answer);
        });
    }

    @Override
    public void sendToPeer(Settings.Peer peer, PeerMessage record, long timeoutMs, Consumer<PeerMessage> reply) {
        plain.sendToPeer(peer, record, timeoutMs, answer -> {
            observer.exchanged(peer.name(), answer != null);
            reply.accept(answer);
        });
    }
}
