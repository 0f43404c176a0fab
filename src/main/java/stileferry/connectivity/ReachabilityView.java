package stileferry.connectivity;

import java.util.List;
import org.roaringbitmap.RoaringBitmap;
import stileferry.validation.InvalidInputException;

/**
 * One controller's view of its links, as sent to another one: the changes since the last version that the receiver has
 * acknowledged (delta anti-entropy). No clocks are compared: a view is at most as old as the receiver's view that it
 * acknowledges.
 *
 * @param header the sender, its position in its own sequence of views, and its acknowledgements
 * @param senderHealth the condition of the sender
 * @param workers the changes of the links to workers
 * @param probes workers that the receiver must probe; only from a leader
 * @param handover the sender's last handover; null: none
 * @param acceptedHandoverId the id of the receiver's handover that the sender is ready for; 0: none
 */
public record ReachabilityView(
        Header header,
        ControllerHealth senderHealth,
        WorkerChanges workers,
        List<ProbeTarget> probes,
        HandoverNotice handover,
        long acceptedHandoverId) {

    /** Copies the list. */
    public ReachabilityView {
        probes = List.copyOf(probes);
    }

    /**
     * The sender, its position in its own sequence of views, and its acknowledgements.
     *
     * @param sender the sender's name
     * @param incarnation the incarnation of the sender's process, higher than those before
     * @param sequence the number of the view, ascending within the incarnation
     * @param term the highest term that the sender knows
     * @param leader the leader, as far as the sender knows; empty: not known
     * @param ackedIncarnation the receiver's incarnation in its newest view that the sender has; 0: none
     * @param ackedSequence the sequence of the receiver's newest view that the sender has; 0: none
     * @param ackedVersion the version of the receiver's workers that the sender has
     * @param ackedEpoch the receiver's epoch to which that version belongs
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
     * The condition of a controller.
     *
     * @param storeReachable whether the state service answers the controller
     * @param lagging whether its event loop lags, or did lately
     * @param reachablePeers the controllers that it reaches or is reached by
     */
    public record ControllerHealth(boolean storeReachable, boolean lagging, List<String> reachablePeers) {
        /** Copies the list. */
        public ControllerHealth {
            reachablePeers = List.copyOf(reachablePeers);
        }
    }

    /**
     * The changes of the links to workers. Workers have small ids, so that sets of them are small bitmaps.
     *
     * @param epoch the assignment of ids; a new one voids all that was sent before
     * @param baseVersion the version that these changes follow
     * @param version the version that these changes lead to
     * @param names the names of the changed workers, by ascending id
     * @param changed the ids of the changed workers
     * @param removed of these, workers that no longer exist
     * @param outboundKnown of these, workers with a known recent outcome of a request
     * @param inbound of these, workers whose heartbeats come straight to the sender
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
        /** Copies the list, not the bitmaps, which must not change any more. */
        public WorkerChanges {
            names = List.copyOf(names);
        }

        /** Throws where the parts contradict each other. */
        void validate() {
            InvalidInputException.require(
                    names.size() == changed.getCardinality(), "workers", "not a name for each changed worker");
            for (RoaringBitmap subset : List.of(removed, outboundKnown, inbound, outbound)) {
                InvalidInputException.require(changed.contains(subset), "workers", "a worker that has not changed");
            }
            InvalidInputException.require(
                    baseVersion >= 0 && version >= baseVersion && epoch > 0, "workers", "impossible numbers");
        }
    }

    /** A worker to be probed, and the address of its agent. */
    public record ProbeTarget(String worker, String address) {}

    /**
     * A leader's announcement of a handover of the leadership.
     *
     * @param id the number of the handover, ascending within the leader's process
     * @param term the term in which the leader leads
     * @param nominee the controller that should lead next
     * @param nomineeIncarnation the incarnation of its process
     * @param active whether the handover goes on; false: it was aborted
     */
    public record HandoverNotice(long id, long term, String nominee, long nomineeIncarnation, boolean active) {}
}
