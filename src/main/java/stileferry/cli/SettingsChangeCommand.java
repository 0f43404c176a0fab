package stileferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import stileferry.protocol.ApiPaths;
import stileferry.protocol.MessageCodec;

/** A command that changes operator settings, and does so only if nobody has changed them since the given revision. */
abstract class SettingsChangeCommand implements Callable<Integer> {
    @Mixin
    private ControllerConnection connection;

    @Option(names = "--revision", required = true, description = "The revision that 'admin get' showed.")
    private long revision;

    private final String path;

    /** Creates the command; {@code path} is relative to the administration API. */
    SettingsChangeCommand(String path) {
        this.path = path;
    }

    /** Writes the requested change into the body of the request. */
    abstract void writeChange(ObjectNode body);

    @Override
    public Integer call() throws IOException, InterruptedException {
        ObjectNode body = MessageCodec.map().put("revision", revision);
        writeChange(body);
        return connection.request(
                "POST", ApiPaths.ADMINISTRATION_PREFIX + path, MessageCodec.encode(body), OperatorSettingsText::of);
    }
}
