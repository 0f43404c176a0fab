package stileferry.connectivity;

import static stileferry.validation.InvalidInputException.require;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The links to all other controllers. */
final class PeerLinks {
    private final ConnectivityConfig config;
    private final Map<String, PeerLink> peers = new LinkedHashMap<>();

    PeerLinks(ConnectivityConfig config, long now) {
        this.config = config;
        config.peers().forEach(name -> peers.put(name, new PeerLink(name, config, now)));
    }

    /** Returns the links to the controller with this name; throws if there is no such controller. */
    PeerLink get(String name) {
        PeerLink peer = peers.get(name);
        require(peer != null, "peer", "unknown controller: " + name);
        return peer;
    }

    Collection<PeerLink> all() {
        return peers.values();
    }

    /** Returns whether a controller's view is recent enough to be used. */
    boolean fresh(PeerLink peer, long now) {
        return peer.view.senderHealth() != null && peer.view.fresh(now, config.viewMaxAgeMs());
    }

    /** Returns the names of the controllers that are reachable now. */
    List<String> reachable(long now, long eventLoopLagMs) {
        List<String> names = new ArrayList<>();
        for (PeerLink peer : peers.values()) {
            if (peer.reachable(now, eventLoopLagMs)) {
                names.add(peer.name);
            }
        }
        return names;
    }

    /** Returns whether other controllers were reachable before and none is now. */
    boolean allLost(long now, long eventLoopLagMs) {
        return peers.values().stream().anyMatch(PeerLink::everReachable)
                && reachable(now, eventLoopLagMs).isEmpty();
    }

    /**
     * Returns the leader of the newest term, {@code minTerm} or later, for which a fresh view names another controller
     * as leader, or an empty string if no view does.
     */
    String reportedLeader(long minTerm, long now) {
        String leader = "";
        long newestTerm = minTerm - 1;
        for (PeerLink peer : peers.values()) {
            String reported = peer.view.leader();
            boolean usable = fresh(peer, now) && !reported.isEmpty() && !reported.equals(config.self());
            if (usable && peer.view.term() > newestTerm) {
                newestTerm = peer.view.term();
                leader = reported;
            }
        }
        return leader;
    }

    /** Returns whether any fresh view reports that its sender reaches a worker. */
    boolean anyReaches(String worker, long now) {
        for (PeerLink peer : peers.values()) {
            if (fresh(peer, now) && peer.view.reaches(worker)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether any fresh view lacks a known outcome of its sender's requests to a worker. */
    boolean anyOutboundUnknown(String worker, long now) {
        for (PeerLink peer : peers.values()) {
            if (fresh(peer, now) && !peer.view.outboundKnown(worker)) {
                return true;
            }
        }
        return false;
    }
}
