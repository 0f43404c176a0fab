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

    /** The controller with this name; throws for one that is not known. */
    PeerLink get(String name) {
        PeerLink peer = peers.get(name);
        require(peer != null, "peer", "no such controller: " + name);
        return peer;
    }

    Collection<PeerLink> all() {
        return peers.values();
    }

    /** Whether a controller's view is fresh enough to be used. */
    boolean fresh(PeerLink peer, long now) {
        return peer.view.senderHealth() != null && peer.view.fresh(now, config.viewMaxAgeMs());
    }

    /** The names of the controllers that are reachable now. */
    List<String> reachable(long now, long eventLoopLagMs) {
        List<String> names = new ArrayList<>();
        for (PeerLink peer : peers.values()) {
            if (peer.reachable(now, eventLoopLagMs)) {
                names.add(peer.name);
            }
        }
        return names;
    }

    /** Whether other controllers were reachable before and none is now. */
    boolean allLost(long now, long eventLoopLagMs) {
        return peers.values().stream().anyMatch(PeerLink::everReachable)
                && reachable(now, eventLoopLagMs).isEmpty();
    }

    /** The leader in the newest term, from {@code minTerm} on, that a fresh view names one in; empty: none does. */
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

    /** Whether a fresh view says that its sender reaches a worker. */
    boolean anyReaches(String worker, long now) {
        for (PeerLink peer : peers.values()) {
            if (fresh(peer, now) && peer.view.reaches(worker)) {
                return true;
            }
        }
        return false;
    }

    /** Whether a fresh view does not say if its sender reaches a worker. */
    boolean anyOutboundUnknown(String worker, long now) {
        for (PeerLink peer : peers.values()) {
            if (fresh(peer, now) && !peer.view.outboundKnown(worker)) {
                return true;
            }
        }
        return false;
    }
}
