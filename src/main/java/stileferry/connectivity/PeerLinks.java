package stileferry.connectivity;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import stileferry.connectivity.ReachabilityView.Header;
import stileferry.validation.InvalidInputException;

/** The links to the other controllers and what they said, with what they have seen of this one. */
final class PeerLinks {
    private final ConnectivityConfig config;
    private final Map<String, Peer> peers = new LinkedHashMap<>();

    /** One other controller. */
    static final class Peer {
        final String name;
        final PeerView view = new PeerView();
        final LinkFailureDetector inbound;
        final LinkFailureDetector outbound;

        /** Whether anything was ever heard of it. */
        boolean everReachable;

        /** Up to which change it has what was said of workers, in which numbering. */
        long ackedVersion;

        int ackedEpoch;

        /** The handover that it last spoke of; null: none. */
        ReachabilityView.HandoverNotice handover;

        Peer(String name, ConnectivityConfig config, long now) {
            this.name = name;
            this.inbound = new LinkFailureDetector(config.exchangeIntervalMs(false), now);
            this.outbound = new LinkFailureDetector(config.exchangeIntervalMs(false), now);
        }

        /** Notes what it says it has seen of this controller's words. */
        void acknowledge(Header header, long ownIncarnation) {
            boolean ours = header.ackedIncarnation() == ownIncarnation;
            ackedVersion = ours ? header.ackedVersion() : 0;
            ackedEpoch = ours ? header.ackedEpoch() : 0;
        }
    }

    PeerLinks(ConnectivityConfig config, long now) {
        this.config = config;
        config.peers().forEach(name -> peers.put(name, new Peer(name, config, now)));
    }

    /** The controller with this name; throws for one that is not known. */
    Peer get(String name) {
        Peer peer = peers.get(name);
        InvalidInputException.require(peer != null, "peer", "no such controller: " + name);
        return peer;
    }

    Collection<Peer> all() {
        return peers.values();
    }

    /** Whether a controller's view says something about now. */
    boolean fresh(Peer peer, long now) {
        return peer.view.senderHealth() != null && peer.view.fresh(now, config.viewMaxAgeMs());
    }

    /** The controllers that are heard now. */
    List<String> reachable(long now, long lateMs) {
        List<String> names = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.everReachable && reachable(peer, now, lateMs)) {
                names.add(peer.name);
            }
        }
        return names;
    }

    private static boolean reachable(Peer peer, long now, long lateMs) {
        return peer.inbound.condition(now, lateMs) == LinkCondition.GOOD
                || peer.outbound.condition(now, lateMs) == LinkCondition.GOOD;
    }

    /** Whether others were heard before and none is now. */
    boolean allLost(long now, long lateMs) {
        return peers.values().stream().anyMatch(p -> p.everReachable)
                && reachable(now, lateMs).isEmpty();
    }

    /** Who leads in this term or a later one, as another controller lately said; empty: nobody did. */
    String reportedLeader(long leastTerm, long now) {
        String name = "";
        long newest = leastTerm - 1;
        for (Peer peer : peers.values()) {
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
        for (Peer peer : peers.values()) {
            if (fresh(peer, now) && peer.view.reaches(worker)) {
                return true;
            }
        }
        return false;
    }

    /** Whether a controller that takes part has not said whether it reaches a worker. */
    boolean anyUnsureOf(String worker, long now) {
        for (Peer peer : peers.values()) {
            if (fresh(peer, now) && !peer.view.outboundKnown(worker)) {
                return true;
            }
        }
        return false;
    }
}
