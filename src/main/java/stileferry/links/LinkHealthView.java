package stileferry.links;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.Locale;
import stileferry.connectivity.ConnectivitySnapshot;
import stileferry.protocol.MessageCodec;

/** Formats the state of one controller's links as JSON for the administration API. */
final class LinkHealthView {
    private LinkHealthView() {}

    static ObjectNode describe(ConnectivitySnapshot snapshot, Collection<String> controllersExchangingViews) {
        ObjectNode view = MessageCodec.map()
                .put("node", snapshot.controller())
                .put("leads", snapshot.leading())
                .put("advice", lowerCase(snapshot.advice().action()))
                .put("reason", snapshot.advice().reason());
        view.set("store", link(snapshot.store()));
        ArrayNode peers = view.putArray("controllers");
        for (ConnectivitySnapshot.Peer peer : snapshot.peers()) {
            ObjectNode entry = peers.addObject()
                    .put("name", peer.controller())
                    .put("exchanges_views", controllersExchangingViews.contains(peer.controller()))
                    .put("view_age_ms", peer.viewAgeMs())
                    .put("workers_reached", peer.reachedWorkers())
                    .put("worker_share", peer.reachableShare());
            entry.set("from", link(peer.inbound()));
            entry.set("to", link(peer.outbound()));
        }
        ConnectivitySnapshot.Workers workers = snapshot.workers();
        view.putObject("workers")
                .put("known", workers.known())
                .put("direct", workers.direct())
                .put("suspect", workers.suspect())
                .put("share", workers.reachableShare())
                .put("silence_bound_ms", Math.round(workers.suspicionTimeoutMs()));
        ConnectivitySnapshot.Counters counters = snapshot.counters();
        view.putObject("counters")
                .put("handovers_begun", counters.handoversBegun())
                .put("released", counters.released())
                .put("handovers_given_up", counters.aborted())
                .put("suspicions", counters.suspicions())
                .put("withheld", counters.withheld())
                .put("stale_views", counters.staleViews());
        return view;
    }

    private static ObjectNode link(ConnectivitySnapshot.Link link) {
        ObjectNode entry = MessageCodec.map()
                .put("condition", lowerCase(link.condition()))
                .put("suspicion", Math.round(10 * Math.min(1000, link.suspicionLevel())) / 10.0)
                .put("silent_ms", link.silentMs())
                .put("failures_in_row", link.consecutiveFailures());
        return link.lastFailure() == null ? entry : entry.put("last_failure", lowerCase(link.lastFailure()));
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
