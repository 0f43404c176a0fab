package stileferry.connectivity;

import java.util.List;
import org.roaringbitmap.RoaringBitmap;
import stileferry.validation.InvalidInputException;

/**
 * One controller's view of its links, as sent to another controller. It contains the worker changes since the last
 * version that the receiver has acknowledged (delta anti-entropy). Its age is bounded without comparing clocks: a view
 * is at most as old as the receiver's view that it acknowledges.
 *
 * @param header the sender, its position in its own sequence of views, and its acknowledgements
 * @param senderHealth the health of the sender
 * @param workers changes of the sender's links to workers
 * @param probes workers that the receiver must probe, or an empty list if the sender does not lead
 * @param handover notice of the sender's last handover, or null if there is none
 * @param acceptedHandoverId id of the receiver's handover that the sender accepts as nominee, or 0 if there is none
 */
public record ReachabilityView(
        Header header,
        ControllerHealth senderHealth,
        WorkerChanges workers,
        List<ProbeTarget> probes,
        HandoverNotice handover,
        long acceptedHandoverId) {

    /** Makes a defensive copy of the probes. */
    public ReachabilityView {
        probes = List.copyOf(probes);
    }

    /**
     * The header of a view: sender, position in the sender's sequence of views, and acknowledgements.
     *
     * @param sender the sender's name
     * @param incarnation the incarnation of the sender's process, higher for each later process
     * @param sequence the sequence number of the view, ascending within the incarnation
     * @param term the highest term that the sender knows
     * @param leader the leader as far as the sender knows, or an empty string if it is unknown
     * @param ackedIncarnation incarnation of the newest receiver view that the sender has merged, or 0 if there is none
     * @param ackedSequence sequence number of the newest receiver view that the sender has merged, or 0 if there is
     *     none
     * @param ackedVersion version of the receiver's worker state that the sender has merged
     * @param ackedEpoch epoch of the receiver's worker ids to which that version belongs
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
        /** Returns whether the sender names itself as leader. */
        public boolean leading() {
            return leader.equals(sender);
        }
    }

    /**
     * The health of a controller.
     *
     * @param storeReachable whether the key-value store responds to the controller
     * @param lagging whether its process is overloaded or was recently, so that its event loop lags
     * @param reachablePeers names of the other controllers whose messages or responses it receives
     */
    public record ControllerHealth(boolean storeReachable, boolean lagging, List<String> reachablePeers) {
        /** Makes a defensive copy of the names. */
        public ControllerHealth {
            reachablePeers = List.copyOf(reachablePeers);
        }
    }

    /**
     * Changes of the sender's links to workers. Workers have small ids, so that sets of workers are small bitmaps.
     *
     * @param epoch number of the assignment of ids; a new epoch invalidates all changes sent before
     * @param baseVersion version of the sender's worker state to which these changes apply
     * @param version version of the sender's worker state after these changes
     * @param names names of the changed workers, by ascending id
     * @param changed ids of the changed workers
     * @param removed changed workers that no longer exist
     * @param outboundKnown changed workers with a known recent outcome of a request
     * @param inbound changed workers whose heartbeats arrive directly at the sender
     * @param outbound changed workers that the sender's requests reach, as last known
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
        /** Makes a defensive copy of the names, but not of the bitmaps, which must not be modified afterwards. */
        public WorkerChanges {
            names = List.copyOf(names);
        }

        /** Throws if the components contradict each other. */
        void validate() {
            InvalidInputException.require(
                    names.size() == changed.getCardinality(),
                    "workers",
                    "number of names differs from number of changed workers");
            for (RoaringBitmap subset : List.of(removed, outboundKnown, inbound, outbound)) {
                InvalidInputException.require(
                        changed.contains(subset), "workers", "contains an id outside the changed workers");
            }
            InvalidInputException.require(
                    baseVersion >= 0 && version >= baseVersion && epoch > 0, "workers", "invalid epoch or versions");
        }
    }

    /** A worker to be probed and the address of its agent. */
    public record ProbeTarget(String worker, String address) {}

    /**
     * A leader's announcement of a handover of the leadership.
     *
     * @param id number of the handover, ascending within the leader's process
     * @param term the leader's term
     * @param nominee the controller that should lead next
     * @param nomineeIncarnation incarnation of the nominee's process
     * @param active false if the handover was aborted
     */
    public record HandoverNotice(long id, long term, String nominee, long nomineeIncarnation, boolean active) {}
}
