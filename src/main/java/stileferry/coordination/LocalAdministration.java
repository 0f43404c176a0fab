package stileferry.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import stileferry.protocol.PeerMessage;
import stileferry.requests.Responses;

/** Provides the administration views that every controller generates from its own state, whether or not it leads. */
final class LocalAdministration {

    private final ControllerContext controller;

    LocalAdministration(ControllerContext controller) {
        this.controller = controller;
    }

    /**
     * Responds to a request that needs no leader; returns false, without responding, if only the leader can respond to
     * it.
     */
    boolean tryAnswer(String method, String path, Consumer<PeerMessage.Response> reply) {
        boolean isGet = method.equals("GET");
        if (path.equals("links")) {
            reply.accept(links(isGet));
        } else if (path.equals("admission") && isGet) {
            admission(reply);
        } else if (path.equals("counters")) {
            reply.accept(Responses.readOnlyView(isGet, this::counters));
        } else {
            return false;
        }
        return true;
    }

    private PeerMessage.Response links(boolean isGet) {
        ObjectNode view = controller.links().describe();
        if (view == null) {
            return Responses.error(404, "links: partial_cuts is off");
        }
        return Responses.readOnlyView(isGet, () -> view);
    }

    private void admission(Consumer<PeerMessage.Response> reply) {
        if (!controller.admission().describe(reply)) {
            reply.accept(Responses.error(404, "admission: fair_admission is off"));
        }
    }

    private ObjectNode counters() {
        ObjectNode view = controller.metrics().describe();
        view.set("invariants_violated", controller.invariants().describe());
        return view.put("node", controller.settings().controllerName())
                .put("leader", controller.election().leader())
                .put("term", controller.election().term())
                .put("late_ms", controller.eventLoopLag().lagMs())
                .put("most_late_ms", controller.eventLoopLag().maxLagMs())
                .put("oldest_read_ms", controller.store().oldestQueuedReadMs())
                .put("oldest_write_ms", controller.store().oldestQueuedWriteMs())
                .put("heap_used_mb", controller.environment().usedHeapMb())
                .put("heap_max_mb", controller.environment().maxHeapMb());
    }
}
