package stileferry.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import stileferry.heartbeat.EventLoopLag;
import stileferry.leadership.LeaderElection;
import stileferry.links.LinkHealth;
import stileferry.overload.AdmissionControl;
import stileferry.protocol.PeerMessage;
import stileferry.requests.AdministrationHandler;
import stileferry.requests.RequestMetrics;
import stileferry.requests.Responses;

/** The administration views that every controller answers from its own state, whether or not it leads. */
final class LocalAdministration {
    private final String node;
    private final LeaderElection leadership;
    private final LinkHealth links;
    private final AdmissionControl admission;
    private final RequestMetrics counters;
    private final EventLoopLag eventLoopLag;

    LocalAdministration(
            String node,
            LeaderElection leadership,
            LinkHealth links,
            AdmissionControl admission,
            RequestMetrics counters,
            EventLoopLag eventLoopLag) {
        this.node = node;
        this.leadership = leadership;
        this.links = links;
        this.admission = admission;
        this.counters = counters;
        this.eventLoopLag = eventLoopLag;
    }

    /** Answers a request that needs no leader; false, and no answer, if only the leader can. */
    boolean answers(String method, String path, Consumer<PeerMessage.Response> reply) {
        boolean get = method.equals("GET");
        if (path.equals("links")) {
            links(get, reply);
        } else if (path.equals("admission") && get) {
            admission(reply);
        } else if (path.equals("counters")) {
            AdministrationHandler.view(get, this::counters, reply);
        } else {
            return false;
        }
        return true;
    }

    private void links(boolean get, Consumer<PeerMessage.Response> reply) {
        ObjectNode view = links.describe();
        if (view == null) {
            reply.accept(Responses.refusal(404, "links: partial_cuts is off"));
        } else {
            AdministrationHandler.view(get, () -> view, reply);
        }
    }

    private void admission(Consumer<PeerMessage.Response> reply) {
        if (!admission.describe(reply)) {
            reply.accept(Responses.refusal(404, "admission: fair_admission is off"));
        }
    }

    private ObjectNode counters() {
        return counters.describe()
                .put("node", node)
                .put("leader", leadership.leader())
                .put("term", leadership.term())
                .put("late_ms", eventLoopLag.lagMs())
                .put("most_late_ms", eventLoopLag.maxLagMs());
    }
}
