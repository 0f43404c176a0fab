package stileferry.connectivity;

import java.util.List;
import org.roaringbitmap.RoaringBitmap;
import stileferry.validation.InvalidInputException;

/**
 * What one controller tells another one of its links. It holds what changed since the last change that the receiver has
 * confirmed. No clocks are compared: a view is as old as the receiver's own view that its sender had seen.
 *
 * @param header who says this, and when
 * @param standing how the sender's own links are
 * @param workers what changed of the links to workers
 * @param probes workers that the receiver shall ask whether it reaches them; only from a leader
 * @param handover an intended handover; null: none
 * @param acceptedHandover the number of the receiver's handover that the sender is ready for; 0: none
 */
public record ReachabilityView(
        Header header,
        Standing standing,
        WorkerChanges workers,
        List<ProbeTarget> probes,
        HandoverNotice handover,
        long acceptedHandover) {

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
     * @param seenIncarnation the receiver's incarnation as the sender knows it; 0: not known
     * @param seenSequence the number of the receiver's newest view that the sender has seen; 0: none
     * @param seenChange up to which change the sender has what the receiver said of workers
     * @param seenEpoch the receiver's numbering of workers to which that belongs
     */
    public record Header(
            String sender,
            long incarnation,
            long sequence,
            long term,
            String leader,
            long seenIncarnation,
            long seenSequence,
            long seenChange,
            int seenEpoch) {
        /** Whether the sender leads. */
        public boolean leading() {
            return leader.equals(sender);
        }
    }

    /**
     * How the sender's own links are.
     *
     * @param storeGood whether the state service answers it
     * @param busy whether its process is behind with its work
     * @param heard the controllers that it hears
     */
    public record Standing(boolean storeGood, boolean busy, List<String> heard) {
        /** Copies what may change. */
        public Standing {
            heard = List.copyOf(heard);
        }
    }

    /**
     * What changed of the links to workers, which are numbered so that sets of them are small.
     *
     * @param epoch the numbering; with another one all that was said before is void
     * @param base the change after which these come
     * @param upTo the last of these changes
     * @param names the names of the changed workers, in the order of their numbers
     * @param changed the numbers of the changed workers
     * @param departed of these, workers that are gone
     * @param examined of these, workers of which it is known whether requests reach them
     * @param inbound of these, workers whose reports come straight to the sender
     * @param outbound of these, workers that requests of the sender reach
     */
    public record WorkerChanges(
            int epoch,
            long base,
            long upTo,
            List<String> names,
            RoaringBitmap changed,
            RoaringBitmap departed,
            RoaringBitmap examined,
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
            for (RoaringBitmap part : List.of(departed, examined, inbound, outbound)) {
                InvalidInputException.require(changed.contains(part), "workers", "a worker that has not changed");
            }
            InvalidInputException.require(base >= 0 && upTo >= base && epoch > 0, "workers", "impossible numbers");
        }
    }

    /** A worker that shall be asked whether requests reach it. */
    public record ProbeTarget(String worker, String address) {}

    /**
     * A handover of the leadership that a leader intends.
     *
     * @param number tells it from others of the same leader
     * @param term the term in which the leader leads
     * @param nominee the controller that shall lead next
     * @param nomineeIncarnation its process
     * @param given whether it is still intended; false: it was given up
     */
    public record HandoverNotice(long number, long term, String nominee, long nomineeIncarnation, boolean given) {}
}
