package stileferry.heartbeat;

import java.util.List;
import java.util.StringJoiner;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.cluster.Machine;
import stileferry.protocol.WorkerCommand;

/** Logs the commands that are sent to workers, with what decides whether a worker carries them out. */
final class CommandLog {
    private static final Logger LOG = LoggerFactory.getLogger("commands");

    private CommandLog() {}

    /** Logs commands, if any; a clear was allowed because the token that it shows fences the attempt. */
    static void sent(
            Machine machine,
            CommandPlanner.Delivery delivery,
            long fencingToken,
            long incarnation,
            List<WorkerCommand> commands) {
        if (commands.isEmpty() || !LOG.isDebugEnabled()) {
            return;
        }
        StringJoiner descriptions = new StringJoiner(",");
        for (WorkerCommand command : commands) {
            descriptions.add(command.kind().wireName() + ":" + command.attemptId());
        }
        LOG.debug(
                "commands sent: machine={} delivery={} token={} raises={} incarnation={} status={} commands={}",
                machine.name(),
                delivery.label(),
                fencingToken,
                machine.agent().startFence().raises(),
                incarnation,
                machine.agent().sequence(),
                descriptions);
    }

    /** Logs that a worker has answered a direct request. */
    static void answered(Machine machine, long fencingToken, long incarnation, int status) {
        LOG.debug(
                "commands answered: machine={} token={} incarnation={} http_status={}",
                machine.name(),
                fencingToken,
                incarnation,
                status);
    }
}
