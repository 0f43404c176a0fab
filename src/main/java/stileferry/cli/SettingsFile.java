package stileferry.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import stileferry.protocol.SettingsReader;

/** Reads the settings file given on the command line. */
final class SettingsFile {
    private SettingsFile() {}

    static SettingsReader.Result read(Path file) {
        try {
            return SettingsReader.read(Files.readString(file));
        } catch (IOException e) {
            return new SettingsReader.Result(null, List.of("can't read " + file + ": " + e));
        }
    }
}
