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

/** The options of all commands that send requests to controllers, with the request itself and the output. */
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

    /**
     * Sends a request and prints the response, or an error of one line.
     *
     * @param text renders the body of a successful response for the user, unless JSON was asked for
     * @return the exit code
     */
    int request(String method, String path, byte[] body, Function<JsonNode, String> text)
            throws IOException, InterruptedException {
        LogLevel.initialize("error"); // no other log lines: a client's output is its result or an error of one line
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
        boolean rejected = status >= 400 && status < 500 && status != 429;
        return rejected ? ExitCode.REJECTED : ExitCode.FAILED;
    }

    private static String reason(JsonNode body) {
        return body == null ? "" : ": " + body.path(WireNames.ERROR).asText(body.toString());
    }
}
