package stileferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import stileferry.protocol.MessageCodec;
import stileferry.transport.StandInServer;

/** Sends the heartbeats of the machines of a {@link FullStore}, on which all of their tasks run. */
final class HeartbeatLoad {
    private static final int MAX_IN_FLIGHT = 100;
    private static final int REDIRECTED = 421;
    private static final Duration TIMEOUT = Duration.ofSeconds(4);

    private final List<String> addresses;
    private final int machines;
    private final int tasksPerMachine;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final AtomicLong fencingToken = new AtomicLong();
    private int sequence;

    /** The controller to which heartbeats are sent, by its number. */
    private volatile int controller;

    HeartbeatLoad(String address, int machines, int tasksPerMachine) {
        this(List.of(address), machines, tasksPerMachine);
    }

    /** Creates the load of machines that follow redirects among these controllers and try the next one on failure. */
    HeartbeatLoad(List<String> addresses, int machines, int tasksPerMachine) {
        this.addresses = addresses;
        this.machines = machines;
        this.tasksPerMachine = tasksPerMachine;
    }

    /** Sends one heartbeat of each machine; returns how many were answered with 200. */
    int sendRound() throws InterruptedException {
        sequence++;
        Semaphore slots = new Semaphore(MAX_IN_FLIGHT);
        AtomicInteger answered = new AtomicInteger();
        for (int machine = 0; machine < machines; machine++) {
            slots.acquire();
            client.sendAsync(heartbeat(machine), HttpResponse.BodyHandlers.ofByteArray())
                    .whenComplete((response, failure) -> {
                        slots.release();
                        int status = failure == null ? response.statusCode() : 0;
                        if (status != 200) {
                            chooseController(status == REDIRECTED ? MessageCodec.decode(response.body()) : null);
                        } else {
                            answered.incrementAndGet();
                            JsonNode body = MessageCodec.decode(response.body());
                            fencingToken.accumulateAndGet(body.path("helm").asLong(), Math::max);
                        }
                    });
        }
        slots.acquire(MAX_IN_FLIGHT);
        return answered.get();
    }

    /** Chooses the controller that a redirect names, or else the next one. */
    private void chooseController(JsonNode redirect) {
        String leader = redirect == null ? "" : redirect.path("harbormaster").asText();
        for (int i = 0; i < addresses.size(); i++) {
            if (leader.equals(StandInSettings.controllerName(i))) {
                controller = i;
                return;
            }
        }
        controller = (controller + 1) % addresses.size();
    }

    private HttpRequest heartbeat(int machine) {
        ObjectNode body = MessageCodec.map()
                .put("vessel", FullStore.machineName(machine))
                .put("addr", "127.0.0.1:1")
                .put("hull", StandInServer.MACHINE_TYPE)
                .put("harbor", machine % 2 == 0 ? "a" : "b")
                .put("tender", false)
                .put("voyage", 1)
                .put("log_seq", sequence)
                .put("helm", fencingToken.get())
                .putNull("recall_s");
        ArrayNode tasks = body.putArray("passengers");
        for (String task : FullStore.tasksOf(machine, machines, tasksPerMachine)) {
            tasks.addObject().put("passenger", task).put("launch", 1).put("tide", "running");
        }
        return HttpRequest.newBuilder(URI.create("http://" + addresses.get(controller) + "/v1/report"))
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofByteArray(MessageCodec.encode(body)))
                .build();
    }
}
