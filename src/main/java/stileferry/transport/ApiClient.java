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

/** Blocking API client for users and operators, with retries as the API protocol requires. */
public final class ApiClient implements AutoCloseable {
    private static final long RESPONSE_TIMEOUT_MS = 5000;
    private static final long RETRY_INTERVAL_MS = 1000;

    private final EventLoop loop;
    private final List<String> addresses;
    private int nextAddress;

    /**
     * A response.
     *
     * @param status the HTTP status, {@link Environment#NO_RESPONSE} or {@link Environment#NOT_SENT}
     * @param body the decoded body, or null if the body is empty or not MessagePack
     */
    public record Response(int status, JsonNode body) {}

    /** Creates a client that sends its requests to these controllers in turn. */
    public ApiClient(List<String> addresses) throws IOException {
        this.addresses = List.copyOf(addresses);
        this.loop = new EventLoop(this.addresses.size());
    }

    /** Sends a request once and waits for the response; each call uses the next address. */
    public Response sendOnce(String method, String path, byte[] body) throws InterruptedException {
        String address = addresses.get(Math.floorMod(nextAddress++, addresses.size()));
        CompletableFuture<Response> response = new CompletableFuture<>();
        loop.ioThread().execute(() -> loop.httpClient()
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

    /**
     * Sends a request and repeats it while there is no response or the response is 429 or 5xx.
     *
     * @param retryTimeoutMs time after which no further attempt begins
     * @return the response to the last attempt
     */
    public Response sendWithRetries(String method, String path, byte[] body, long retryTimeoutMs)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(retryTimeoutMs);
        while (true) {
            Response response = sendOnce(method, path, body);
            boolean retryable = response.status <= 0 || response.status == 429 || response.status >= 500;
            if (!retryable || System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETRY_INTERVAL_MS) > deadlineNanos) {
                return response;
            }
            Thread.sleep(RETRY_INTERVAL_MS);
        }
    }

    @Override
    public void close() {
        loop.close();
    }
}
