package stileferry.connectivity;

import static stileferry.validation.InvalidInputException.require;

import java.util.List;
import stileferry.connectivity.ReachabilityView.Header;

/** Builds this controller's views and merges those of the others. */
final class ViewSynchronizer {
    private final ObservedLinks links;
    private final LeadershipControl leadership;
    private final ProbePlanner probePlanner;
    private final ProbeQueue probeQueue;
    private final SentViewLog sentViews = new SentViewLog();
    private final ViewBuilder viewBuilder;
    private long incarnation;
    private long staleViews;

    ViewSynchronizer(
            ObservedLinks links,
            LeadershipControl leadership,
            ProbePlanner probePlanner,
            ProbeQueue probeQueue,
            long incarnation) {
        this.links = links;
        this.leadership = leadership;
        this.probePlanner = probePlanner;
        this.probeQueue = probeQueue;
        this.incarnation = incarnation;
        this.viewBuilder = new ViewBuilder(links.config, links.workers, sentViews);
    }

    ReachabilityView viewFor(PeerLink peer) {
        return viewBuilder.build(
                peer,
                new ViewBuilder.Sender(incarnation, leadership.term(), leadership.leader()),
                links.health(),
                links.leading() ? probePlanner.currentTargets() : List.of(),
                links.leading() ? leadership.handover().notice() : null,
                leadership.acceptableHandoverId(peer, incarnation),
                links.now());
    }

    /** Throws for a view that contradicts itself or this controller's own views; changes nothing. */
    void validate(ReachabilityView view) {
        Header header = view.header();
        view.workers().validate();
        require(header.incarnation() > 0 && header.sequence() > 0, "view", "impossible numbers");
        require(
                header.ackedIncarnation() != incarnation || header.ackedSequence() <= sentViews.newestSequence(),
                "view",
                "from the future: it has seen a view that was never sent");
    }

    /** Merges a view that was checked; a stale one changes nothing but this controller's incarnation. */
    void receive(PeerLink peer, ReachabilityView view) {
        Header header = view.header();
        raiseIncarnationAbove(header.ackedIncarnation());
        if (!peer.view.merge(view, validFrom(header))) {
            staleViews++;
            return;
        }
        peer.acknowledge(header, incarnation);
        leadership.observeTerm(header.term());
        if (header.leading() && !links.leading()) {
            view.probes().forEach(probeQueue::offer);
        }
        leadership.handoverNoticeReceived(peer, view.handover());
        if (view.acceptedHandoverId() > 0) {
            leadership
                    .handover()
                    .nomineeAccepted(peer.name, header.incarnation(), view.acceptedHandoverId(), links.now());
        }
    }

    /** A former process of this controller had a higher incarnation where the clock went back meanwhile. */
    private void raiseIncarnationAbove(long ackedIncarnation) {
        if (ackedIncarnation > incarnation) {
            incarnation = ackedIncarnation + 1;
        }
    }

    /** The time from which on a view describes its sender's links: when the view that it acknowledges was sent. */
    private long validFrom(Header header) {
        return header.ackedIncarnation() == incarnation ? sentViews.sentAt(header.ackedSequence()) : -1;
    }

    /** Received views that were older than what was known. */
    long staleViews() {
        return staleViews;
    }
}
