package stileferry.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
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

    @Override
    public Integer call() {
        SettingsReader.Result read = SettingsFile.read(config);
        if (read.settings() == null) {
            read.problems().forEach(p -> System.err.println("stileferry: settings: " + p));
            return 2;
        }
        System.out.println("settings are usable");
        return 0;
    }
}
