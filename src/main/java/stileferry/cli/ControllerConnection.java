package stileferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import picocli.CommandLine.Option;
import stileferry.transport.ApiClient;
import stileferry.transport.LogLevel;

/** What all commands share that ask controllers: where they are, how long to try, and how to print the answer. */
final class ControllerConnection {
    static final int FAILED = 1;
    static final int REFUSED = 3;

    private static final byte[] NOTHING = new byte[0];

    @Option(
            names = "--node",
            required = true,
            split = ",",
            paramLabel = "ADDR",
            description = "Client addresses of controllers, such as 127.0.0.1:7701; more than one with commas.")
    private List<String> nodes;

    @Option(names = "--json", description = "Print the answer as JSON.")
    private boolean json;

    @Option(
            names = "--patience",
            defaultValue = "60",
            paramLabel = "S",
            description = "Seconds for which a request is repeated (default ${DEFAULT-VALUE}).")
    private int patienceS;

    /** Asks, prints the answer or a one-line error, and returns the exit code. */
    int ask(String method, String path, byte[] body, Function<JsonNode, String> text)
            throws IOException, InterruptedException {
        LogLevel.start("error"); // a client's own messages are its errors, one line each
        try (ApiClient client = new ApiClient(nodes)) {
            ApiClient.Response answer =
                    client.ask(method, path, body == null ? NOTHING : body, TimeUnit.SECONDS.toMillis(patienceS));
            return print(answer, text, System.out, System.err);
        }
    }

    private int print(ApiClient.Response answer, Function<JsonNode, String> text, PrintStream out, PrintStream err) {
        int status = answer.status();
        if (status >= 200 && status < 300 && answer.body() != null) {
            out.println(json ? answer.body().toString() : text.apply(answer.body()));
            return 0;
        }
        String reason = answer.body() == null
                ? ""
                : ": " + answer.body().path("error").asText(answer.body().toString());
        err.println("stileferry: " + (status <= 0 ? "no answer from " + nodes : "refused with " + status + reason));
        return status >= 400 && status < 500 && status != 429 ? REFUSED : FAILED;
    }
}
