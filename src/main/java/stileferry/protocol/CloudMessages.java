package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** The bodies of requests to the cloud, and its answers about machines; its machine types are {@link MachineType}s. */
public final class CloudMessages {
    private CloudMessages() {}

    /** Where machines are requested. */
    public static final String SCALE_OUT_PATH = "/hosts";

    /** Where machines are deleted. */
    public static final String DELETION_PATH = "/hosts/delete";

    /** A machine in the cloud's list; the age is in seconds. */
    public record ListedMachine(
            String name, String address, String type, String zone, boolean spot, String state, double ageS) {
        /** Whether the machine has not come up yet. */
        public boolean isBooting() {
            return state.equals("booting");
        }

        /** Whether the machine will never come up. */
        public boolean hasFailed() {
            return state.equals("failed");
        }
    }

    /**
     * Where a page of the list is read.
     *
     * @param after the last machine of the page before; empty: the first page
     */
    public static String listPath(int maxMachines, String after) {
        return "/hosts?most=" + maxMachines + (after.isEmpty() ? "" : "&from=" + after);
    }

    /** Whether the list goes on after this page. */
    public static boolean hasMorePages(JsonNode body) {
        return body.path("more").asBoolean();
    }

    /** Whether a request to scale out was refused because the cloud has no such machines now. */
    public static boolean reportsNoCapacity(JsonNode body) {
        return body.path(WireNames.ERROR).asText().startsWith("no");
    }

    /** A request to scale out by some machines of one type. */
    public static ObjectNode scaleOutRequest(String request, String type, String zone, boolean spot, int count) {
        return MessageCodec.map()
                .put(WireNames.SCALE_OUT_REQUEST, request)
                .put(WireNames.MACHINE_TYPE, type)
                .put(WireNames.ZONE, zone)
                .put(WireNames.SPOT, spot)
                .put(WireNames.COUNT, count);
    }

    /** A request to delete machines. */
    public static ObjectNode deletionRequest(Collection<String> names) {
        ObjectNode body = MessageCodec.map();
        names.forEach(body.putArray(WireNames.MACHINES)::add);
        return body;
    }

    /** The names in the answer to a request to scale out. */
    public static List<String> createdMachines(JsonNode body) {
        List<String> names = new ArrayList<>();
        body.path(WireNames.MACHINES).forEach(name -> names.add(name.asText()));
        return names;
    }

    /** The machines in one page of the cloud's list. */
    public static List<ListedMachine> listedMachines(JsonNode body) {
        List<ListedMachine> machines = new ArrayList<>();
        for (JsonNode machine : body.path(WireNames.MACHINES)) {
            machines.add(new ListedMachine(
                    machine.path(WireNames.NAME_ID).asText(),
                    machine.path(WireNames.ADDRESS).asText(),
                    machine.path(WireNames.MACHINE_TYPE).asText(),
                    machine.path(WireNames.ZONE).asText(),
                    machine.path(WireNames.SPOT).asBoolean(),
                    machine.path(WireNames.STATE).asText(),
                    machine.path(WireNames.AGE_S).asDouble()));
        }
        return machines;
    }
}
