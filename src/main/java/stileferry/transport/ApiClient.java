package stileferry.transport;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import stileferry.protocol.Environment;
import stileferry.protocol.MessageCodec;

/** A client for users and operators: waits for answers, and repeats requests as the protocol asks. */
public final class ApiClient implements AutoCloseable {
    private static final long RESPONSE_TIMEOUT_MS = 5000;
    private static final long REPEAT_MS = 1000;

    private final EventLoop loop;
    private final List<String> addresses;
    private int next;

    /** A response; the body is null when it is empty or not MessagePack. */
    public record Response(int status, JsonNode body) {}

    /** A client of the controllers at these addresses. */
    public ApiClient(List<String> addresses) throws IOException {
        this.addresses = List.copyOf(addresses);
        this.loop = new EventLoop(this.addresses.size());
    }

    /** Asks one controller once; each call takes the next address. */
    public Response once(String method, String path, byte[] body) throws InterruptedException {
        String address = addresses.get(Math.floorMod(next++, addresses.size()));
        CompletableFuture<Response> response = new CompletableFuture<>();
        loop.thread().execute(() -> loop.http()
                .request(
                        address,
                        method,
                        path,
                        body,
                        RESPONSE_TIMEOUT_MS,
                        (status, bytes) -> response.complete(
                                new Response(status, bytes.length == 0 ? null : MessageCodec.decode(bytes)))));
        try {
            return response.get(2 * RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            return new Response(Environment.NO_RESPONSE, null);
        }
    }

    /** Asks until there is a response other than "try again", for so long at most. */
    public Response ask(String method, String path, byte[] body, long patienceMs) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
        while (true) {
            Response response = once(method, path, body);
            boolean tryAgain = response.status <= 0 || response.status == 429 || response.status >= 500;
            if (!tryAgain || System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REPEAT_MS) > until) {
                return response;
            }
            Thread.sleep(REPEAT_MS);
        }
    }

    @Override
    public void close() {
        loop.close();
    }
}
