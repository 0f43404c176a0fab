package stileferry.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import stileferry.protocol.Features;

/** Reads the features file for the commands that take one. */
final class FeaturesFile {
    private FeaturesFile() {}

    /** What a file turns on; without a file everything is off. */
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
