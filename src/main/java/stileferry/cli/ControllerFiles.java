package stileferry.cli;

import java.nio.file.Path;
import java.util.List;
import stileferry.protocol.Features;
import stileferry.protocol.Settings;
import stileferry.protocol.SettingsReader;

/**
 * What a controller's files say.
 *
 * @param problems one line each, none when the files are usable; settings and features are null when there are some
 */
record ControllerFiles(Settings settings, Features features, List<String> problems) {

    /** Reads the settings file and the features file (null: none); the latter only if the former is usable. */
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
