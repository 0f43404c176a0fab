package stileferry.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stileferry.protocol.Features;
import stileferry.protocol.SettingsReader;

/** Checks a settings file without starting anything. */
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
        SettingsReader.Result read = SettingsFile.read(config);
        if (read.settings() == null) {
            read.problems().forEach(problem -> System.err.println("stileferry: settings: " + problem));
            return ExitCode.USAGE;
        }
        Features.Result features = FeaturesFile.read(featuresFile);
        if (features.features() == null) {
            System.err.println("stileferry: features: " + features.problem());
            return ExitCode.USAGE;
        }
        System.out.println("settings are usable");
        List<String> on = features.features().on();
        System.out.println("features on: " + (on.isEmpty() ? "none" : String.join(", ", on)));
        return ExitCode.OK;
    }
}
