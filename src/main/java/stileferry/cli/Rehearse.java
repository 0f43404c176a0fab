package stileferry.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Loads what a controller needs, so that the build can archive the classes for a quick start. */
@Command(name = "rehearse", hidden = true, description = "Used by the build.")
final class Rehearse implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        return 0;
    }
}
