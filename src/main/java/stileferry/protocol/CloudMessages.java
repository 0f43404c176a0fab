package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Writes the bodies of requests to the cloud and reads its responses about machines. Responses about machine types are
 * read by {@link MachineType}.
 */
public final class CloudMessages {
    private CloudMessages() {}

    /** The path of scale-out requests and of the machine list. */
    public static final String SCALE_OUT_PATH = "/hosts";

    /** The path of deletion requests. */
    public static final String DELETION_PATH = "/hosts/delete";

    /**
     * A machine in the cloud's list.
     *
     * @param ageS seconds since the machine was created
     */
    public record ListedMachine(
            String name, String address, String type, String zone, boolean spot, String state, double ageS) {
        /** Returns whether the machine is still booting. */
        public boolean isBooting() {
            return state.equals("booting");
        }

        /** Returns whether the machine failed to boot and will never become available. */
        public boolean hasFailed() {
            return state.equals("failed");
        }
    }

    /**
     * Returns the path and query that read one page of the machine list.
     *
     * @param maxMachines the page size
     * @param after the name of the last machine of the previous page; empty for the first page
     */
    public static String listPath(int maxMachines, String after) {
        return "/hosts?most=" + maxMachines + (after.isEmpty() ? "" : "&from=" + after);
    }

    /** Returns whether more pages follow this one. */
    public static boolean hasMorePages(JsonNode body) {
        return body.path("more").asBoolean();
    }

    /** Returns whether the cloud refused a scale-out request because it has no such machines at the moment. */
    public static boolean reportsNoCapacity(JsonNode body) {
        return body.path(WireNames.ERROR).asText().startsWith("no");
    }

    /**
     * Returns the body of a request for machines of one type.
     *
     * @param request the id that makes the request idempotent
     */
    public static ObjectNode scaleOutRequest(String request, String type, String zone, boolean spot, int count) {
        return MessageCodec.map()
                .put(WireNames.SCALE_OUT_REQUEST, request)
                .put(WireNames.MACHINE_TYPE, type)
                .put(WireNames.ZONE, zone)
                .put(WireNames.SPOT, spot)
                .put(WireNames.COUNT, count);
    }

    /** Returns the body of a request to delete machines. */
    public static ObjectNode deletionRequest(Collection<String> names) {
        ObjectNode body = MessageCodec.map();
        names.forEach(body.putArray(WireNames.MACHINES)::add);
        return body;
    }

    /** Returns the names of the created machines from the response to a scale-out request. */
    public static List<String> createdMachines(JsonNode body) {
        List<String> names = new ArrayList<>();
        body.path(WireNames.MACHINES).forEach(name -> names.add(name.asText()));
        return names;
    }

    /** Returns the machines in one page of the cloud's list. */
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
