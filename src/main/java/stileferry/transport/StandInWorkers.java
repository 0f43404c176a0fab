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
    private static final long RESPONSE_TIMEOUT_MS = 4000;

    private static final long NEXT_CONTROLLER_DELAY_MS = 1000;

    /** After a redirect a worker tries the named controller so soon. */
    private static final long REDIRECT_DELAY_MS = 50;

    private static final double CPUS = 8;
    private static final double MEMORY_GB = 32;

    /** Addresses of workers in one block of loopback addresses. */
    private static final int ADDRESSES_PER_BLOCK = 250;

    private final EventLoop loop;
    private final Config config;
    private final LinkFaults faults;
    private final Worker.TaskListener taskListener;
    private final Function<String, JobSpec> jobSpecs;
    private final GangSimulation gangs =
            new GangSimulation(StandInServer.GANG_ASSEMBLY_TIMEOUT_S, StandInServer.GANG_LOSS_DETECTION_S);
    private final Map<String, Worker> byAddress = new HashMap<>();
    private int bootedWorkers;
    private volatile boolean closed;

    /** Where workers and controllers are: the port of all workers, and the controllers' addresses and names. */
    record Config(int port, StandInServer.Size size, List<String> controllerAddresses, List<String> controllerNames) {
        /** Copies the lists. */
        Config {
            controllerAddresses = List.copyOf(controllerAddresses);
            controllerNames = List.copyOf(controllerNames);
        }
    }

    /** {@code jobs} finds a job's description by its id; null: there is none. */
    StandInWorkers(
            EventLoop loop,
            Config config,
            LinkFaults faults,
            Worker.TaskListener watcher,
            Function<String, JobSpec> jobs) {
        this.loop = loop;
        this.config = config;
        this.faults = faults;
        this.taskListener = watcher;
        this.jobSpecs = jobs;
    }

    /** The loopback address of a worker by its number, from 1. */
    static String loopbackAddress(int number) {
        return "127.0." + (1 + number / ADDRESSES_PER_BLOCK) + "." + (1 + number % ADDRESSES_PER_BLOCK);
    }

    /** The worker at an address; null: there is none. */
    Worker workerAt(String host) {
        return byAddress.get(host + ":" + config.port());
    }

    void tick() {
        List.copyOf(byAddress.values()).forEach(worker -> worker.tick(StandInServer.now()));
    }

    void close() {
        closed = true;
    }

    /** Boots a worker. */
    Worker boot(String machine, String zone, boolean spot) {
        String address = loopbackAddress(1 + bootedWorkers++ % config.size().machines()) + ":" + config.port();
        Worker worker = new Worker(
                machine,
                address,
                StandInServer.MACHINE_TYPE,
                zone,
                spot,
                CPUS,
                MEMORY_GB,
                config.size().leaseMs(),
                StandInServer.now(),
                jobSpecs,
                taskListener,
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
        LinkFaults.Effect effect =
                faults.effectOn(worker.machine(), config.controllerNames().get(controller));
        switch (effect) {
            case NONE -> postHeartbeat(worker, controller, false);
            case REFUSED -> sendHeartbeatLater(NEXT_CONTROLLER_DELAY_MS, worker, nextController(controller));
            case REQUEST_LOST ->
                sendHeartbeatLater(RESPONSE_TIMEOUT_MS + NEXT_CONTROLLER_DELAY_MS, worker, nextController(controller));
            case ANSWER_LOST -> postHeartbeat(worker, controller, true);
            case SLOW ->
                loop.ioThread()
                        .executeAfter(
                                () -> postHeartbeat(worker, controller, false),
                                StandInServer.SLOW_LINK_DELAY_MS,
                                TimeUnit.MILLISECONDS);
        }
    }

    private void postHeartbeat(Worker worker, int controller, boolean answerLost) {
        long sentAt = StandInServer.now();
        long incarnation = worker.incarnation();
        loop.httpClient()
                .request(
                        config.controllerAddresses().get(controller),
                        "POST",
                        ApiPaths.HEARTBEATS,
                        MessageCodec.encode(worker.heartbeat()),
                        RESPONSE_TIMEOUT_MS,
                        (status, bytes) -> {
                            JsonNode body = bytes.length == 0 ? null : MessageCodec.decode(bytes);
                            int redirect = redirectTarget(body);
                            if (answerLost) {
                                sendHeartbeatLater(
                                        RESPONSE_TIMEOUT_MS + NEXT_CONTROLLER_DELAY_MS,
                                        worker,
                                        nextController(controller));
                            } else if (status == 200) {
                                worker.handleHeartbeatResponse(body, incarnation, sentAt);
                                sendHeartbeatLater(config.size().heartbeatIntervalMs(), worker, controller);
                            } else if (status == 421 && redirect >= 0 && redirect != controller) {
                                sendHeartbeatLater(REDIRECT_DELAY_MS, worker, redirect);
                            } else {
                                sendHeartbeatLater(NEXT_CONTROLLER_DELAY_MS, worker, nextController(controller));
                            }
                        });
    }

    /** The number of the controller that an answer names; -1: none that is known. */
    private int redirectTarget(JsonNode body) {
        return body == null ? -1 : config.controllerNames().indexOf(WorkerMessages.redirectedTo(body));
    }

    private int nextController(int controller) {
        return (controller + 1) % config.controllerAddresses().size();
    }

    private void sendHeartbeatLater(long delayMs, Worker worker, int controller) {
        loop.ioThread().executeAfter(() -> sendHeartbeat(worker, controller), delayMs, TimeUnit.MILLISECONDS);
    }
}
