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

/** Carries views between controllers, as far as they have shown that they exchange them. */
final class ViewExchange {
    private static final Logger LOG = LoggerFactory.getLogger("links");

    private final Settings settings;
    private final Environment environment;
    private final Connectivity connectivity;
    private final long patienceMs;
    private final Consumer<ReachabilityView.Header> taken;
    private final Set<String> aware = new LinkedHashSet<>();
    private final Set<String> inFlight = new HashSet<>();

    /** When a view was last sent to a controller by itself. */
    private final Map<String, Long> sentAt = new HashMap<>();

    /** The consumer is told of each view that was taken in. */
    ViewExchange(
            Settings settings,
            Environment environment,
            Connectivity connectivity,
            long patienceMs,
            Consumer<ReachabilityView.Header> taken) {
        this.settings = settings;
        this.environment = environment;
        this.connectivity = connectivity;
        this.patienceMs = patienceMs;
        this.taken = taken;
    }

    /** The controllers that exchange views, this one first. */
    List<String> aware() {
        List<String> names = new ArrayList<>(List.of(settings.controllerName()));
        names.addAll(aware);
        return names;
    }

    /** Takes in what a controller's term says of who exchanges views; followers hear of each other by the leader. */
    void learn(String controller, PeerMessage.TermAnnouncement said) {
        for (Settings.Peer peer : settings.peers()) {
            boolean saidBySomebodyWhoKnows = peer.name().equals(controller) || said.leading();
            if (!saidBySomebodyWhoKnows) {
                continue;
            }
            if (said.linkAware().contains(peer.name())) {
                aware.add(peer.name());
            } else {
                aware.remove(peer.name());
            }
        }
    }

    /** Takes in a view and returns the answer; null: it can't be right. */
    PeerMessage answer(PeerMessage.LinkView links) {
        try {
            ReachabilityView view = ViewCodec.read(links.view());
            String sender = view.header().sender();
            take(view);
            connectivity.peerHeard(sender, environment.now());
            return new PeerMessage.LinkView(ViewCodec.write(connectivity.viewFor(sender, environment.now())));
        } catch (InvalidInputException e) {
            LOG.info("a view that can't be right: {}", e.getMessage());
            return null;
        }
    }

    private void take(ReachabilityView view) {
        connectivity.take(view, environment.now());
        taken.accept(view.header());
    }

    /** Exchanges views with those with whom it is time. */
    void ifDue() {
        long before = environment.now() - connectivity.exchangeMs();
        for (Settings.Peer peer : settings.peers()) {
            if (sentAt.getOrDefault(peer.name(), Long.MIN_VALUE) <= before) {
                with(peer);
            }
        }
    }

    /** Exchanges views with all now. */
    void withAll() {
        settings.peers().forEach(this::with);
    }

    private void with(Settings.Peer peer) {
        if (!aware.contains(peer.name()) || !inFlight.add(peer.name())) {
            return;
        }
        sentAt.put(peer.name(), environment.now());
        ReachabilityView view = connectivity.viewFor(peer.name(), environment.now());
        environment.sendToPeer(peer, new PeerMessage.LinkView(ViewCodec.write(view)), patienceMs, answer -> {
            inFlight.remove(peer.name());
            if (answer instanceof PeerMessage.LinkView links) {
                try {
                    take(ViewCodec.read(links.view()));
                } catch (InvalidInputException e) {
                    LOG.info("a view that can't be right: {}", e.getMessage());
                }
            } else if (answer != null) {
                aware.remove(peer.name()); // it does not watch its links any more
            }
        });
    }
}
