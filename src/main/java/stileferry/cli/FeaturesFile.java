package stileferry.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import stileferry.protocol.Features;

/** Reads the features file given on the command line. */
final class FeaturesFile {
    private FeaturesFile() {}

    /** Reads a features file; without a file (null) all features are disabled. */
    static Features.Result read(Path file) {
        if (file == null) {
            return new Features.Result(Features.NONE, null);
        }
        try {
            return Features.read(Files.readString(file));
        } catch (IOException e) {
            return new Features.Result(null, "can't read " + file + ": " + e);
        }
    }
}
