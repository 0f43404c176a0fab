package stileferry.connectivity;

import java.util.List;
import org.roaringbitmap.RoaringBitmap;
import stileferry.validation.InvalidInputException;

/**
 * What one controller tells another one of its links. It holds what changed since the last change that the receiver has
 * confirmed. No clocks are compared: a view is as old as the receiver's own view that its sender had seen.
 *
 * @param header who says this, and when
 * @param senderHealth how the sender's own links are
 * @param workers what changed of the links to workers
 * @param probes workers that the receiver shall ask whether it reaches them; only from a leader
 * @param handover an intended handover; null: none
 * @param acceptedHandoverId the number of the receiver's handover that the sender is ready for; 0: none
 */
public record ReachabilityView(
        Header header,
        ControllerHealth senderHealth,
        WorkerChanges workers,
        List<ProbeTarget> probes,
        HandoverNotice handover,
        long acceptedHandoverId) {

    /** Copies what may change. */
    public ReachabilityView {
        probes = List.copyOf(probes);
    }

    /**
     * Who says this, and when.
     *
     * @param sender the sender's name
     * @param incarnation tells the sender's process from its former lives, and is higher than theirs
     * @param sequence the number of the view, higher than those before of the same incarnation
     * @param term the highest term that the sender knows
     * @param leader who leads in it, as far as the sender knows; empty: it does not know
     * @param ackedIncarnation the receiver's incarnation as the sender knows it; 0: not known
     * @param ackedSequence the number of the receiver's newest view that the sender has seen; 0: none
     * @param ackedVersion up to which change the sender has what the receiver said of workers
     * @param ackedEpoch the receiver's numbering of workers to which that belongs
     */
    public record Header(
            String sender,
            long incarnation,
            long sequence,
            long term,
            String leader,
            long ackedIncarnation,
            long ackedSequence,
            long ackedVersion,
            int ackedEpoch) {
        /** Whether the sender leads. */
        public boolean leading() {
            return leader.equals(sender);
        }
    }

    /**
     * How the sender's own links are.
     *
     * @param storeReachable whether the state service answers it
     * @param lagging whether its process is behind with its work
     * @param reachablePeers the controllers that it hears
     */
    public record ControllerHealth(boolean storeReachable, boolean lagging, List<String> reachablePeers) {
        /** Copies what may change. */
        public ControllerHealth {
            reachablePeers = List.copyOf(reachablePeers);
        }
    }

    /**
     * What changed of the links to workers, which are numbered so that sets of them are small.
     *
     * @param epoch the numbering; with another one all that was said before is void
     * @param baseVersion the change after which these come
     * @param version the last of these changes
     * @param names the names of the changed workers, in the order of their numbers
     * @param changed the numbers of the changed workers
     * @param removed of these, workers that are gone
     * @param outboundKnown of these, workers of which it is known whether requests reach them
     * @param inbound of these, workers whose reports come straight to the sender
     * @param outbound of these, workers that requests of the sender reach
     */
    public record WorkerChanges(
            int epoch,
            long baseVersion,
            long version,
            List<String> names,
            RoaringBitmap changed,
            RoaringBitmap removed,
            RoaringBitmap outboundKnown,
            RoaringBitmap inbound,
            RoaringBitmap outbound) {
        /** Copies what may change, but for the bitmaps, which their makers leave alone. */
        public WorkerChanges {
            names = List.copyOf(names);
        }

        /** Checks that the sets belong together. */
        void check() {
            InvalidInputException.require(
                    names.size() == changed.getCardinality(), "workers", "not a name for each changed worker");
            for (RoaringBitmap part : List.of(removed, outboundKnown, inbound, outbound)) {
                InvalidInputException.require(changed.contains(part), "workers", "a worker that has not changed");
            }
            InvalidInputException.require(
                    baseVersion >= 0 && version >= baseVersion && epoch > 0, "workers", "impossible numbers");
        }
    }

    /** A worker that shall be asked whether requests reach it. */
    public record ProbeTarget(String worker, String address) {}

    /**
     * A handover of the leadership that a leader intends.
     *
     * @param id tells it from others of the same leader
     * @param term the term in which the leader leads
     * @param nominee the controller that shall lead next
     * @param nomineeIncarnation its process
     * @param active whether it is still intended; false: it was given up
     */
    public record HandoverNotice(long id, long term, String nominee, long nomineeIncarnation, boolean active) {}
}
