package stileferry.cli;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** A controller as a process of its own, with the JVM options of deploy/service.toml, that can be killed and paused. */
final class ControllerProcess implements AutoCloseable {
    private static final double TURN_S = 0.1;

    private final Path settingsFile;
    private final Path logFile;
    private Process process;

    /** Creates a controller that has not been started; each start appends to the log file. */
    ControllerProcess(Path settingsFile, Path logFile) {
        this.settingsFile = settingsFile;
        this.logFile = logFile;
    }

    /** Starts the process, which must not be running. */
    void start() throws IOException {
        List<String> command =
                new ArrayList<>(List.of(ProcessHandle.current().info().command().orElse("java")));
        command.addAll(memoryAndCompilerOptions());
        command.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                Daemon.class.getName(),
                "--features",
                "deploy/features.json",
                "--config",
                settingsFile.toString()));
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(logFile.toString())))
                .start();
    }

    /** Returns the JVM options of the deployment file, except for the class archive, which only the package has. */
    private static List<String> memoryAndCompilerOptions() throws IOException {
        String runLine = Files.readAllLines(Path.of("deploy/service.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        return Arrays.stream(runLine.split("[ \"]+"))
                .filter(word -> word.startsWith("-X"))
                .filter(word -> !word.startsWith("-XX:SharedArchiveFile") && !word.startsWith("-Xshare"))
                .toList();
    }

    boolean running() {
        return process != null && process.isAlive();
    }

    /** Starts the process if it is not running, as a service manager would. */
    synchronized void startUnlessRunning() throws IOException {
        if (!running()) {
            start();
        }
    }

    /** Kills the process without a signal that it could handle, if it runs. */
    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    /** Stops the process from being scheduled until {@link #resume}. */
    void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Lets a paused process go on. */
    void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    /**
     * Lets the process run for this share of the time only, in turns, until it ends: a stand-in for a small share of a
     * core.
     */
    void limitProcessor(double share) throws IOException {
        String script = "while kill -CONT %1$d; do sleep %2$s; kill -STOP %1$d; sleep %3$s; done"
                .formatted(process.pid(), seconds(share * TURN_S), seconds((1 - share) * TURN_S));
        new ProcessBuilder("sh", "-c", script)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static String seconds(double seconds) {
        return String.format(Locale.ROOT, "%.3f", seconds);
    }

    private void signal(String name) throws IOException, InterruptedException {
        if (running()) {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                    .start()
                    .waitFor(5, TimeUnit.SECONDS);
        }
    }

    /** Returns everything that the controller has logged since its first start. */
    String log() throws IOException {
        return Files.exists(logFile) ? Files.readString(logFile) : "";
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
    }
}
