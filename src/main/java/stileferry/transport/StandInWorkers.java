package stileferry.transport;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import stileferry.protocol.ApiPaths;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.WorkerMessages;
import stileferry.standin.GangSimulation;
import stileferry.standin.LinkFaults;
import stileferry.standin.Worker;

/** The stand-ins of workers: boots them, and sends their heartbeats to controllers as a real worker would. */
final class StandInWorkers {
    /** How long a worker waits for an answer, and then until it tries the next controller. */
    private static final long PATIENCE_MS = 4000;

    private static final long NEXT_CONTROLLER_MS = 1000;

    /** After a redirect a worker tries the named controller so soon. */
    private static final long REDIRECT_MS = 50;

    private static final double CPUS = 8;
    private static final double MEMORY_GB = 32;

    /** Addresses of workers in one block of loopback addresses. */
    private static final int ADDRESSES_IN_BLOCK = 250;

    private final EventLoop loop;
    private final Config config;
    private final LinkFaults faults;
    private final Worker.Watcher watcher;
    private final Function<String, JobSpec> jobs;
    private final GangSimulation gangs = new GangSimulation(StandInHost.GANG_WAIT_S, StandInHost.GANG_PEER_S);
    private final Map<String, Worker> byAddress = new HashMap<>();
    private int booted;
    private volatile boolean closed;

    /** Where workers and controllers are: the port of all workers, and the controllers' addresses and names. */
    record Config(int port, StandInHost.Size size, List<String> controllers, List<String> names) {
        /** Copies the lists. */
        Config {
            controllers = List.copyOf(controllers);
            names = List.copyOf(names);
        }
    }

    /** {@code jobs} finds a job's description by its id; null: there is none. */
    StandInWorkers(
            EventLoop loop, Config config, LinkFaults faults, Worker.Watcher watcher, Function<String, JobSpec> jobs) {
        this.loop = loop;
        this.config = config;
        this.faults = faults;
        this.watcher = watcher;
        this.jobs = jobs;
    }

    /** The loopback address of a worker by its number, from 1. */
    static String host(int number) {
        return "127.0." + (1 + number / ADDRESSES_IN_BLOCK) + "." + (1 + number % ADDRESSES_IN_BLOCK);
    }

    /** The worker at an address; null: there is none. */
    Worker at(String host) {
        return byAddress.get(host + ":" + config.port());
    }

    void tick() {
        List.copyOf(byAddress.values()).forEach(worker -> worker.tick(StandInHost.now()));
    }

    void close() {
        closed = true;
    }

    /** Boots a worker. */
    Worker boot(String machine, String zone, boolean spot) {
        String address = host(1 + booted++ % config.size().machines()) + ":" + config.port();
        Worker worker = new Worker(
                machine,
                address,
                StandInHost.TYPE,
                zone,
                spot,
                CPUS,
                MEMORY_GB,
                config.size().leaseMs(),
                StandInHost.now(),
                jobs,
                watcher,
                gangs);
        byAddress.put(address, worker);
        sendHeartbeat(worker, 0);
        return worker;
    }

    void remove(Worker worker) {
        byAddress.remove(worker.address(), worker);
        worker.destroy();
    }

    /** Sends a heartbeat to a controller, by its number, as far as the link lets it. */
    private void sendHeartbeat(Worker worker, int controller) {
        if (closed || byAddress.get(worker.address()) != worker) {
            return;
        }
        LinkFaults.Effect effect = faults.of(worker.machine(), config.names().get(controller));
        switch (effect) {
            case NONE -> request(worker, controller, false);
            case REFUSED -> sendLater(NEXT_CONTROLLER_MS, worker, next(controller));
            case REQUEST_LOST -> sendLater(PATIENCE_MS + NEXT_CONTROLLER_MS, worker, next(controller));
            case ANSWER_LOST -> request(worker, controller, true);
            case SLOW ->
                loop.thread()
                        .executeAfter(
                                () -> request(worker, controller, false), StandInHost.SLOW_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void request(Worker worker, int controller, boolean answerLost) {
        long sentAt = StandInHost.now();
        long incarnation = worker.incarnation();
        loop.http()
                .request(
                        config.controllers().get(controller),
                        "POST",
                        ApiPaths.HEARTBEATS,
                        MessageCodec.encode(worker.heartbeat()),
                        PATIENCE_MS,
                        (status, bytes) -> {
                            JsonNode body = bytes.length == 0 ? null : MessageCodec.decode(bytes);
                            int redirect = redirect(body);
                            if (answerLost) {
                                sendLater(PATIENCE_MS + NEXT_CONTROLLER_MS, worker, next(controller));
                            } else if (status == 200) {
                                worker.heartbeatAnswered(body, incarnation, sentAt);
                                sendLater(config.size().heartbeatIntervalMs(), worker, controller);
                            } else if (status == 421 && redirect >= 0 && redirect != controller) {
                                sendLater(REDIRECT_MS, worker, redirect);
                            } else {
                                sendLater(NEXT_CONTROLLER_MS, worker, next(controller));
                            }
                        });
    }

    /** The number of the controller that an answer names; -1: none that is known. */
    private int redirect(JsonNode body) {
        return body == null ? -1 : config.names().indexOf(WorkerMessages.redirectTarget(body));
    }

    private int next(int controller) {
        return (controller + 1) % config.controllers().size();
    }

    private void sendLater(long delayMs, Worker worker, int controller) {
        loop.thread().executeAfter(() -> sendHeartbeat(worker, controller), delayMs, TimeUnit.MILLISECONDS);
    }
}
