package stileferry.transport;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import stileferry.protocol.ApiPaths;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.WorkerMessages;
import stileferry.standin.GangSimulation;
import stileferry.standin.LinkFaults;
import stileferry.standin.Worker;

/** The stand-in workers: starts them, and sends their heartbeats to controllers as a real worker does. */
final class StandInWorkers {
    /** How long a worker waits for the response to a heartbeat. */
    private static final long RESPONSE_TIMEOUT_MS = 4000;

    /** Delay after a failed heartbeat until the worker tries the next controller. */
    private static final long NEXT_CONTROLLER_DELAY_MS = 1000;

    /** Delay after a redirect until the worker tries the named controller. */
    private static final long REDIRECT_DELAY_MS = 50;

    private static final double CPUS = 8;
    private static final double MEMORY_GB = 32;

    /** Worker addresses in each block of loopback addresses that differ only in their last byte. */
    private static final int ADDRESSES_PER_BLOCK = 250;

    private final EventLoop loop;
    private final Config config;
    private final LinkFaults faults;
    private final Worker.TaskListener taskListener;
    private final Function<String, JobSpec> jobSpecs;
    private final GangSimulation gangs =
            new GangSimulation(StandInServer.GANG_ASSEMBLY_TIMEOUT_S, StandInServer.GANG_LOSS_DETECTION_S);
    private final Map<String, Worker> byAddress = new HashMap<>();
    private final SplittableRandom random = new SplittableRandom();
    private int bootedWorkers;
    private volatile boolean closed;

    /**
     * Configuration of the workers.
     *
     * @param port port of all workers
     * @param controllerAddresses client addresses of the controllers
     * @param controllerNames names of the controllers, in the order of their addresses
     */
    record Config(int port, StandInServer.Size size, List<String> controllerAddresses, List<String> controllerNames) {
        Config {
            controllerAddresses = List.copyOf(controllerAddresses);
            controllerNames = List.copyOf(controllerNames);
        }
    }

    /**
     * Creates an empty set of workers.
     *
     * @param jobSpecs returns the spec of a job by its id, or null if there is no such job
     */
    StandInWorkers(
            EventLoop loop,
            Config config,
            LinkFaults faults,
            Worker.TaskListener taskListener,
            Function<String, JobSpec> jobSpecs) {
        this.loop = loop;
        this.config = config;
        this.faults = faults;
        this.taskListener = taskListener;
        this.jobSpecs = jobSpecs;
    }

    /**
     * Returns the loopback address of a worker.
     *
     * @param number the worker's number, from 1
     */
    static String loopbackAddress(int number) {
        return "127.0." + (1 + number / ADDRESSES_PER_BLOCK) + "." + (1 + number % ADDRESSES_PER_BLOCK);
    }

    /** Returns the worker at a loopback address, or null if there is none. */
    Worker workerAt(String ipAddress) {
        return byAddress.get(ipAddress + ":" + config.port());
    }

    void tick() {
        List.copyOf(byAddress.values()).forEach(worker -> worker.tick(StandInServer.now()));
    }

    /** Suspends the tasks of some workers until a given time. */
    void hang(int count, long until) {
        byAddress.values().stream().limit(count).forEach(worker -> worker.hangUntil(until));
    }

    void close() {
        closed = true;
    }

    /** Starts the worker of a machine that has booted, and sends its first heartbeat. */
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

    /** Sends a heartbeat to a controller, given by its index, with the fault that the link has, if any. */
    private void sendHeartbeat(Worker worker, int controllerIndex) {
        if (closed || byAddress.get(worker.address()) != worker) {
            return;
        }
        LinkFaults.Effect effect =
                faults.effectOn(worker.machine(), config.controllerNames().get(controllerIndex));
        switch (effect) {
            case NONE, REPEATED -> postHeartbeat(worker, controllerIndex, false);
            case REFUSED -> sendHeartbeatLater(NEXT_CONTROLLER_DELAY_MS, worker, nextController(controllerIndex));
            case REQUEST_LOST ->
                sendHeartbeatLater(
                        RESPONSE_TIMEOUT_MS + NEXT_CONTROLLER_DELAY_MS, worker, nextController(controllerIndex));
            case ANSWER_LOST -> postHeartbeat(worker, controllerIndex, true);
            case LATE -> {
                postCopyLater(worker);
                postHeartbeat(worker, controllerIndex, false);
            }
            case SLOW ->
                loop.ioThread()
                        .executeAfter(
                                () -> postHeartbeat(worker, controllerIndex, false),
                                StandInServer.SLOW_LINK_DELAY_MS,
                                TimeUnit.MILLISECONDS);
        }
    }

    /** Sends a copy of the worker's present state to any controller, seconds later, and ignores the response. */
    private void postCopyLater(Worker worker) {
        byte[] copy = MessageCodec.encode(worker.heartbeat());
        int controllerIndex = random.nextInt(config.controllerAddresses().size());
        loop.ioThread()
                .executeAfter(
                        () -> loop.httpClient()
                                .request(
                                        config.controllerAddresses().get(controllerIndex),
                                        "POST",
                                        ApiPaths.HEARTBEATS,
                                        copy,
                                        RESPONSE_TIMEOUT_MS,
                                        (status, bytes) -> {}),
                        random.nextLong(
                                StandInServer.MIN_LATE_MS, 2 * config.size().leaseMs()),
                        TimeUnit.MILLISECONDS);
    }

    private void postHeartbeat(Worker worker, int controllerIndex, boolean responseLost) {
        long sentAt = StandInServer.now();
        long incarnation = worker.incarnation();
        loop.httpClient()
                .request(
                        config.controllerAddresses().get(controllerIndex),
                        "POST",
                        ApiPaths.HEARTBEATS,
                        MessageCodec.encode(worker.heartbeat()),
                        RESPONSE_TIMEOUT_MS,
                        (status, bytes) -> {
                            JsonNode body = bytes.length == 0 ? null : MessageCodec.decode(bytes);
                            int redirectIndex = redirectTarget(body);
                            if (responseLost) {
                                sendHeartbeatLater(
                                        RESPONSE_TIMEOUT_MS + NEXT_CONTROLLER_DELAY_MS,
                                        worker,
                                        nextController(controllerIndex));
                            } else if (status == 200) {
                                worker.handleHeartbeatResponse(body, incarnation, sentAt);
                                sendHeartbeatLater(config.size().heartbeatIntervalMs(), worker, controllerIndex);
                            } else if (status == 421 && redirectIndex >= 0 && redirectIndex != controllerIndex) {
                                sendHeartbeatLater(REDIRECT_DELAY_MS, worker, redirectIndex);
                            } else {
                                sendHeartbeatLater(NEXT_CONTROLLER_DELAY_MS, worker, nextController(controllerIndex));
                            }
                        });
    }

    /** Returns the index of the controller that a response redirects to, or -1 if it names none that is known. */
    private int redirectTarget(JsonNode body) {
        return body == null ? -1 : config.controllerNames().indexOf(WorkerMessages.redirectTarget(body));
    }

    private int nextController(int controllerIndex) {
        return (controllerIndex + 1) % config.controllerAddresses().size();
    }

    private void sendHeartbeatLater(long delayMs, Worker worker, int controllerIndex) {
        loop.ioThread().executeAfter(() -> sendHeartbeat(worker, controllerIndex), delayMs, TimeUnit.MILLISECONDS);
    }
}
