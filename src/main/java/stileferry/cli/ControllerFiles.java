package stileferry.cli;

import java.nio.file.Path;
import java.util.List;
import stileferry.protocol.Features;
import stileferry.protocol.Settings;
import stileferry.protocol.SettingsReader;

/**
 * The contents of the files that a controller is started with.
 *
 * @param settings null if there are problems
 * @param features null if there are problems
 * @param problems the problems found, one line each; empty if the files are usable
 */
record ControllerFiles(Settings settings, Features features, List<String> problems) {

    /** Reads the settings file and, if that is usable, the features file (null: none). */
    static ControllerFiles read(Path settingsFile, Path featuresFile) {
        SettingsReader.Result settings = SettingsFile.read(settingsFile);
        if (settings.settings() == null) {
            return unusable(settings.problems().stream()
                    .map(problem -> "settings: " + problem)
                    .toList());
        }
        Features.Result features = FeaturesFile.read(featuresFile);
        if (features.features() == null) {
            return unusable(List.of("features: " + features.problem()));
        }
        return new ControllerFiles(settings.settings(), features.features(), List.of());
    }

    private static ControllerFiles unusable(List<String> problems) {
        return new ControllerFiles(null, null, problems);
    }
}
