package stileferry.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import stileferry.Controller;

/** Runs a controller until the process is killed. */
@Command(
        name = "serve",
        description = "Runs a controller until it is killed. LOG_LEVEL sets error, info or debug.",
        mixinStandardHelpOptions = true,
        footer = {"", "Example: stileferry serve --config node.json"})
final class Serve implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "The settings, as JSON.")
    private Path config;

    @Option(names = "--features", paramLabel = "FILE", description = "What is turned on, as JSON; all is off without.")
    private Path features;

    @Override
    public Integer call() {
        return run(config, features);
    }

    /**
     * Runs a controller with the settings and the features from these files (features null: none); returns the exit
     * code.
     */
    static int run(Path config, Path featuresFile) {
        ControllerFiles files = ControllerFiles.read(config, featuresFile);
        if (!files.problems().isEmpty()) {
            System.err.println("stileferry: " + files.problems().get(0));
            return ExitCode.USAGE;
        }
        try {
            Controller controller = Controller.builder()
                    .settings(files.settings())
                    .features(files.features())
                    .build();
            controller.start();
            // from here on this thread only waits and reads nothing; see ControllerServer for the reason
            controller.awaitClosed();
            return ExitCode.OK;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        } catch (IOException | RuntimeException e) { // broad catch: the networking library throws both
            System.err.println("stileferry: can't start: " + (e.getCause() == null ? e : e.getCause()));
            return ExitCode.FAILED;
        }
    }
}
