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
    private static final long ANSWER_MS = 5000;
    private static final long REPEAT_MS = 1000;

    private final EventLoop loop;
    private final List<String> addrs;
    private int next;

    /** An answer; the body is null when it is empty or not MessagePack. */
    public record Response(int status, JsonNode body) {}

    /** A client of the controllers at these addresses. */
    public ApiClient(List<String> addrs) throws IOException {
        this.addrs = List.copyOf(addrs);
        this.loop = new EventLoop(this.addrs.size());
    }

    /** Asks one controller once; each call takes the next address. */
    public Response once(String method, String path, byte[] body) throws InterruptedException {
        String addr = addrs.get(Math.floorMod(next++, addrs.size()));
        CompletableFuture<Response> answer = new CompletableFuture<>();
        loop.thread.execute(() -> loop.http.call(
                addr,
                method,
                path,
                body,
                ANSWER_MS,
                (status, bytes) ->
                        answer.complete(new Response(status, bytes.length == 0 ? null : MessageCodec.decode(bytes)))));
        try {
            return answer.get(2 * ANSWER_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            return new Response(Environment.NO_ANSWER, null);
        }
    }

    /** Asks until there is an answer that is not "try again", for so long at most. */
    public Response ask(String method, String path, byte[] body, long patienceMs) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
        while (true) {
            Response answer = once(method, path, body);
            boolean later = answer.status <= 0 || answer.status == 429 || answer.status >= 500;
            if (!later || System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REPEAT_MS) > until) {
                return answer;
            }
            Thread.sleep(REPEAT_MS);
        }
    }

    @Override
    public void close() {
        loop.close();
    }
}
