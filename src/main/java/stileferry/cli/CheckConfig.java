package stileferry.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Validates a settings file, and optionally a features file, without starting a controller. */
@Command(
        name = "check-config",
        description = "Checks a settings file and prints every problem found.",
        mixinStandardHelpOptions = true,
        footer = {"", "Example: stileferry check-config node.json", "Exit codes: 0 usable, 2 not usable."})
final class CheckConfig implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The settings, as JSON.")
    private Path config;

    @Option(names = "--features", paramLabel = "FILE", description = "The features file to check with it.")
    private Path featuresFile;

    @Override
    public Integer call() {
        ControllerFiles files = ControllerFiles.read(config, featuresFile);
        if (!files.problems().isEmpty()) {
            files.problems().forEach(problem -> System.err.println("stileferry: " + problem));
            return ExitCode.USAGE;
        }
        System.out.println("settings are usable");
        List<String> enabled = files.features().enabledNames();
        System.out.println("features on: " + (enabled.isEmpty() ? "none" : String.join(", ", enabled)));
        return ExitCode.OK;
    }
}
