package stileferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import stileferry.protocol.ApiPaths;
import stileferry.protocol.MessageCodec;

/** A change of the operators' settings, made only if nobody else has changed them meanwhile. */
abstract class SettingsChangeCommand implements Callable<Integer> {
    @Mixin
    private ControllerConnection connection;

    @Option(names = "--revision", required = true, description = "The revision that 'admin get' showed.")
    private long revision;

    private final String path;

    /** {@code path}: below that of the administration API. */
    SettingsChangeCommand(String path) {
        this.path = path;
    }

    /** Writes what is to be changed. */
    abstract void writeChange(ObjectNode body);

    @Override
    public Integer call() throws IOException, InterruptedException {
        ObjectNode body = MessageCodec.map().put("revision", revision);
        writeChange(body);
        return connection.request(
                "POST", ApiPaths.ADMINISTRATION_PREFIX + path, MessageCodec.encode(body), OperatorSettingsText::of);
    }
}
