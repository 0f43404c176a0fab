package stileferry.connectivity;

/** Checks this controller's leader decisions against the state of its links, and counts those that are withheld. */
final class LeaderPermissions {
    private final ObservedLinks links;
    private final LeadershipControl leadership;
    private final DecisionGate gate;
    private long withheld;

    LeaderPermissions(ObservedLinks links, LeadershipControl leadership) {
        this.links = links;
        this.leadership = leadership;
        this.gate = new DecisionGate(links.config);
    }

    Verdict permits(Decision decision) {
        return countWithheld(check(decision));
    }

    /** Checks whether a silent worker may be removed before its lease has expired. */
    Verdict permitsRemoving(String worker) {
        Verdict verdict = check(Decision.REMOVE_WORKER);
        WorkerLink link = links.workers.find(worker);
        if (verdict.allowed() && link != null && link.suspect()) {
            verdict = checkRemoval(link);
        }
        return countWithheld(verdict);
    }

    private Verdict checkRemoval(WorkerLink link) {
        long now = links.now();
        boolean reachedByPeer = links.peers.anyReaches(link.name, now);
        if (reachedByPeer && link.removalWithheldSince < 0) {
            link.removalWithheldSince = now;
        }
        long withheldMs = link.removalWithheldSince < 0 ? 0 : now - link.removalWithheldSince;
        boolean peerOutboundUnknown = links.peers.anyOutboundUnknown(link.name, now);
        return gate.checkRemoval(now - link.suspectSince, reachedByPeer, peerOutboundUnknown, withheldMs);
    }

    private Verdict check(Decision decision) {
        return gate.check(decision, links.evidence(leadership.handover().inProgress()));
    }

    private Verdict countWithheld(Verdict verdict) {
        if (!verdict.allowed()) {
            withheld++;
        }
        return verdict;
    }

    /** Returns the number of decisions that were withheld. */
    long withheld() {
        return withheld;
    }
}
