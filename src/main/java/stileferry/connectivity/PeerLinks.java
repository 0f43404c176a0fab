package stileferry.connectivity;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import stileferry.validation.InvalidInputException;

/** The links to the other controllers and what they said, with what they have seen of this one. */
final class PeerLinks {
    private final ConnectivityConfig config;
    private final Map<String, PeerLink> peers = new LinkedHashMap<>();

    PeerLinks(ConnectivityConfig config, long now) {
        this.config = config;
        config.peers().forEach(name -> peers.put(name, new PeerLink(name, config, now)));
    }

    /** The controller with this name; throws for one that is not known. */
    PeerLink get(String name) {
        PeerLink peer = peers.get(name);
        InvalidInputException.require(peer != null, "peer", "no such controller: " + name);
        return peer;
    }

    Collection<PeerLink> all() {
        return peers.values();
    }

    /** Whether a controller's view says something about now. */
    boolean fresh(PeerLink peer, long now) {
        return peer.view.senderHealth() != null && peer.view.fresh(now, config.viewMaxAgeMs());
    }

    /** The controllers that are heard now. */
    List<String> reachable(long now, long eventLoopLagMs) {
        List<String> names = new ArrayList<>();
        for (PeerLink peer : peers.values()) {
            if (peer.reachable(now, eventLoopLagMs)) {
                names.add(peer.name);
            }
        }
        return names;
    }

    /** Whether others were heard before and none is now. */
    boolean allLost(long now, long eventLoopLagMs) {
        return peers.values().stream().anyMatch(peer -> peer.everReachable)
                && reachable(now, eventLoopLagMs).isEmpty();
    }

    /** Who leads in this term or a later one, as another controller lately said; empty: nobody did. */
    String reportedLeader(long leastTerm, long now) {
        String name = "";
        long newest = leastTerm - 1;
        for (PeerLink peer : peers.values()) {
            String said = peer.view.leader();
            boolean useful = fresh(peer, now) && !said.isEmpty() && !said.equals(config.self());
            if (useful && peer.view.term() > newest) {
                newest = peer.view.term();
                name = said;
            }
        }
        return name;
    }

    /** Whether a controller lately said that it reaches a worker. */
    boolean anyReaches(String worker, long now) {
        for (PeerLink peer : peers.values()) {
            if (fresh(peer, now) && peer.view.reaches(worker)) {
                return true;
            }
        }
        return false;
    }

    /** Whether a controller that takes part has not said whether it reaches a worker. */
    boolean anyUnsureOf(String worker, long now) {
        for (PeerLink peer : peers.values()) {
            if (fresh(peer, now) && !peer.view.outboundKnown(worker)) {
                return true;
            }
        }
        return false;
    }
}
