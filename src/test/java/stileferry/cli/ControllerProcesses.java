package stileferry.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

/** Three controller processes that use the same stand-ins, each with a share of a core. */
final class ControllerProcesses implements AutoCloseable {
    private static final Pattern ELECTED = Pattern.compile("leader elected: term=(\\d+)");
    private static final int LOG_CHARS = 6000;

    private final List<ControllerProcess> processes = new ArrayList<>();
    private final List<String> addresses = new ArrayList<>();
    private final double processorShare;

    /**
     * Creates controllers that have not been started.
     *
     * @param dir the directory with the settings files that the stand-ins have written
     * @param port the first port of the stand-ins' range
     * @param processorShare the share of a core that each process gets; 1: no limit
     * @param editSettings changes the text of each settings file
     */
    ControllerProcesses(Path dir, int port, double processorShare, UnaryOperator<String> editSettings)
            throws IOException {
        this.processorShare = processorShare;
        for (int i = 0; i < StandInSettings.CONTROLLERS; i++) {
            String name = StandInSettings.controllerName(i);
            Path settings = dir.resolve(name + ".json");
            Files.writeString(settings, editSettings.apply(Files.readString(settings)));
            processes.add(new ControllerProcess(settings, dir.resolve(name + ".log")));
            addresses.add("127.0.0.1:" + StandInSettings.clientPort(port, i));
        }
    }

    void start() throws IOException {
        for (ControllerProcess process : processes) {
            start(process);
        }
    }

    private void start(ControllerProcess process) throws IOException {
        process.start();
        if (processorShare < 1) {
            process.limitProcessor(processorShare);
        }
    }

    /** Returns the addresses at which the controllers listen for users and workers. */
    List<String> addresses() {
        return addresses;
    }

    ControllerProcess get(int controller) {
        return processes.get(controller);
    }

    /** Returns the number of the controller that was elected last. */
    int leader() throws IOException {
        int leader = 0;
        for (int i = 1; i < processes.size(); i++) {
            leader = lastTermWon(i) > lastTermWon(leader) ? i : leader;
        }
        return leader;
    }

    private long lastTermWon(int controller) throws IOException {
        return ELECTED.matcher(processes.get(controller).log())
                .results()
                .map(MatchResult::group)
                .mapToLong(line -> Long.parseLong(line.substring(line.indexOf('=') + 1)))
                .max()
                .orElse(0);
    }

    /** Kills the controller that was elected last, and starts it again after a delay. */
    void killAndRestartLeader(long delayMs) throws IOException, InterruptedException {
        ControllerProcess leader = processes.get(leader());
        leader.kill();
        Thread.sleep(delayMs);
        start(leader);
    }

    /** Returns the ends of the logs of all controllers. */
    String logs() {
        StringBuilder logs = new StringBuilder();
        for (ControllerProcess process : processes) {
            logs.append("----\n").append(endOfLog(process));
        }
        return logs.toString();
    }

    private static String endOfLog(ControllerProcess process) {
        try {
            String log = process.log();
            return log.substring(Math.max(0, log.length() - LOG_CHARS));
        } catch (IOException e) {
            return e.toString();
        }
    }

    @Override
    public void close() {
        processes.forEach(ControllerProcess::close);
    }
}
