package stileferry.connectivity;

import static stileferry.validation.InvalidInputException.require;

import java.util.List;
import stileferry.connectivity.ReachabilityView.Header;

/** Builds the views that this controller sends and processes those that it receives. */
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

    /** Throws for a view that contradicts itself or acknowledges a view that was never sent; changes nothing. */
    void validate(ReachabilityView view) {
        Header header = view.header();
        view.workers().validate();
        require(header.incarnation() > 0 && header.sequence() > 0, "view", "incarnation or sequence not above 0");
        require(
                header.ackedIncarnation() != incarnation || header.ackedSequence() <= sentViews.newestSequence(),
                "view",
                "acknowledges a view that was never sent");
    }

    /** Merges a validated view; a stale view has no effect except that it may raise this controller's incarnation. */
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

    /**
     * Raises this controller's incarnation above an acknowledged one. An earlier process of this controller had a
     * higher incarnation if the clock was set back in between.
     */
    private void raiseIncarnationAbove(long ackedIncarnation) {
        if (ackedIncarnation > incarnation) {
            incarnation = ackedIncarnation + 1;
        }
    }

    /**
     * Returns a lower bound of the time that a view describes: when the view that it acknowledges was sent, or -1 if
     * it is unknown.
     */
    private long validFrom(Header header) {
        return header.ackedIncarnation() == incarnation ? sentViews.sentAt(header.ackedSequence()) : -1;
    }

    /** Returns how many received views were duplicates or older than a view received before. */
    long staleViews() {
        return staleViews;
    }
}
