package stileferry.links;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.connectivity.Connectivity;
import stileferry.connectivity.ReachabilityView;
import stileferry.connectivity.ViewCodec;
import stileferry.protocol.Environment;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;
import stileferry.validation.InvalidInputException;

/** Exchanges views of links with those other controllers that are known to take part in the exchange. */
final class ViewExchange {
    private static final Logger LOG = LoggerFactory.getLogger("links");

    private final Settings settings;
    private final Environment environment;
    private final Connectivity connectivity;
    private final long timeoutMs;
    private final Consumer<ReachabilityView.Header> onViewAccepted;

    /** The other controllers that exchange views. */
    private final Set<String> participants = new LinkedHashSet<>();

    /** Controllers to which a view was sent that has neither received a reply nor failed. */
    private final Set<String> awaitingReply = new HashSet<>();

    /** When a view was last sent to each controller, not counting replies. */
    private final Map<String, Long> sentAt = new HashMap<>();

    /**
     * Creates an exchange without participants.
     *
     * @param timeoutMs timeout of one exchange in milliseconds
     * @param onViewAccepted called with the header of each valid view
     */
    ViewExchange(
            Settings settings,
            Environment environment,
            Connectivity connectivity,
            long timeoutMs,
            Consumer<ReachabilityView.Header> onViewAccepted) {
        this.settings = settings;
        this.environment = environment;
        this.connectivity = connectivity;
        this.timeoutMs = timeoutMs;
        this.onViewAccepted = onViewAccepted;
    }

    /** Returns the controllers that exchange views, this one first. */
    List<String> controllersExchangingViews() {
        List<String> names = new ArrayList<>(List.of(settings.controllerName()));
        names.addAll(participants);
        return names;
    }

    /**
     * Updates the participants from an announcement. Each controller is authoritative for itself, and the leader for
     * all controllers, so that followers learn of each other from the leader.
     */
    void announcementReceived(String controller, PeerMessage.TermAnnouncement announcement) {
        for (Settings.Peer peer : settings.peers()) {
            boolean authoritative = peer.name().equals(controller) || announcement.senderLeads();
            if (!authoritative) {
                continue;
            }
            if (announcement.linkViewParticipants().contains(peer.name())) {
                participants.add(peer.name());
            } else {
                participants.remove(peer.name());
            }
        }
    }

    /** Processes a view and returns the reply, or null if the view is rejected. */
    PeerMessage receive(PeerMessage.LinkView message) {
        ReachabilityView view = accept(message);
        if (view == null) {
            return null;
        }
        String sender = view.header().sender();
        connectivity.peerMessageReceived(sender, environment.now());
        return new PeerMessage.LinkView(ViewCodec.write(connectivity.viewFor(sender, environment.now())));
    }

    /** Decodes and merges a view; returns null, and changes nothing, if it is malformed or contradicts itself. */
    private ReachabilityView accept(PeerMessage.LinkView message) {
        try {
            ReachabilityView view = ViewCodec.read(message.view());
            connectivity.receive(view, environment.now());
            onViewAccepted.accept(view.header());
            return view;
        } catch (InvalidInputException e) {
            LOG.info("malformed view rejected: reason=\"{}\"", e.getMessage());
            return null;
        }
    }

    /** Exchanges views with each participant for which the exchange interval has elapsed. */
    void exchangeIfDue() {
        long before = environment.now() - connectivity.exchangeIntervalMs();
        for (Settings.Peer peer : settings.peers()) {
            if (sentAt.getOrDefault(peer.name(), Long.MIN_VALUE) <= before) {
                exchangeWith(peer);
            }
        }
    }

    /** Exchanges views with all participants now. */
    void exchangeWithAll() {
        settings.peers().forEach(this::exchangeWith);
    }

    private void exchangeWith(Settings.Peer peer) {
        if (!participants.contains(peer.name()) || !awaitingReply.add(peer.name())) {
            return;
        }
        sentAt.put(peer.name(), environment.now());
        ReachabilityView view = connectivity.viewFor(peer.name(), environment.now());
        environment.sendToPeer(peer, new PeerMessage.LinkView(ViewCodec.write(view)), timeoutMs, reply -> {
            awaitingReply.remove(peer.name());
            if (reply instanceof PeerMessage.LinkView message) {
                accept(message);
            } else if (reply != null) {
                participants.remove(peer.name()); // it no longer monitors its links
            }
        });
    }
}
