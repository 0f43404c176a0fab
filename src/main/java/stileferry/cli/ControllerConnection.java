package stileferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import picocli.CommandLine.Option;
import stileferry.protocol.WireNames;
import stileferry.transport.ApiClient;
import stileferry.transport.LogLevel;

/** What all commands share that ask controllers: where they are, how long to try, and how to print the answer. */
final class ControllerConnection {
    static final byte[] NO_BODY = new byte[0];

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

    /** Sends a request, prints the answer or a one-line error, and returns the exit code. */
    int request(String method, String path, byte[] body, Function<JsonNode, String> text)
            throws IOException, InterruptedException {
        LogLevel.initialize("error"); // a client's own messages are its errors, one line each
        try (ApiClient client = new ApiClient(nodes)) {
            ApiClient.Response response =
                    client.sendWithRetries(method, path, body, TimeUnit.SECONDS.toMillis(patienceS));
            return print(response, text);
        }
    }

    private int print(ApiClient.Response response, Function<JsonNode, String> text) {
        int status = response.status();
        JsonNode body = response.body();
        if (status >= 200 && status < 300 && body != null) {
            System.out.println(json ? body.toString() : text.apply(body));
            return ExitCode.OK;
        }
        String problem = status <= 0 ? "no answer from " + nodes : "refused with " + status + reason(body);
        System.err.println("stileferry: " + problem);
        boolean refused = status >= 400 && status < 500 && status != 429;
        return refused ? ExitCode.REFUSED : ExitCode.FAILED;
    }

    private static String reason(JsonNode body) {
        return body == null ? "" : ": " + body.path(WireNames.ERROR).asText(body.toString());
    }
}
