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

/** Exchanges views of links with the other controllers that have shown that they exchange them. */
final class ViewExchange {
    private static final Logger LOG = LoggerFactory.getLogger("links");

    private final Settings settings;
    private final Environment environment;
    private final Connectivity connectivity;
    private final long timeoutMs;
    private final Consumer<ReachabilityView.Header> onViewAccepted;

    /** The other controllers that exchange views. */
    private final Set<String> participants = new LinkedHashSet<>();

    /** Those that were sent a view and have not answered. */
    private final Set<String> awaitingReply = new HashSet<>();

    /** When a view was last sent to a controller, other than in a reply. */
    private final Map<String, Long> sentAt = new HashMap<>();

    /** {@code onViewAccepted} takes the header of each view that was taken in. */
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

    /** The controllers that exchange views, this one first. */
    List<String> controllersExchangingViews() {
        List<String> names = new ArrayList<>(List.of(settings.controllerName()));
        names.addAll(participants);
        return names;
    }

    /** Takes in who exchanges views, as an announcement names them; followers learn of each other from the leader. */
    void announcementReceived(String controller, PeerMessage.TermAnnouncement announcement) {
        for (Settings.Peer peer : settings.peers()) {
            boolean senderKnows = peer.name().equals(controller) || announcement.senderLeads();
            if (!senderKnows) {
                continue;
            }
            if (announcement.linkViewParticipants().contains(peer.name())) {
                participants.add(peer.name());
            } else {
                participants.remove(peer.name());
            }
        }
    }

    /** Takes in a view and returns the reply; null: the view is malformed. */
    PeerMessage receive(PeerMessage.LinkView message) {
        ReachabilityView view = accept(message);
        if (view == null) {
            return null;
        }
        String sender = view.header().sender();
        connectivity.peerMessageReceived(sender, environment.now());
        return new PeerMessage.LinkView(ViewCodec.write(connectivity.viewFor(sender, environment.now())));
    }

    /** Takes in a view; null: it is malformed or contradicts itself, and changes nothing. */
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

    /** Exchanges views with each controller whose turn has come. */
    void exchangeWhereDue() {
        long before = environment.now() - connectivity.exchangeIntervalMs();
        for (Settings.Peer peer : settings.peers()) {
            if (sentAt.getOrDefault(peer.name(), Long.MIN_VALUE) <= before) {
                exchangeWith(peer);
            }
        }
    }

    /** Exchanges views with all now. */
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
