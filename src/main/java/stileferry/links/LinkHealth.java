package stileferry.links;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.IntSupplier;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.PeerMessage;

/**
 * Informs the controller about the health of its links and about which actions are permitted while some of them fail.
 * If links are not monitored ({@link #NONE}), nothing is known and everything is permitted.
 */
public interface LinkHealth {
    /** The implementation for controllers that do not monitor their links. */
    LinkHealth NONE = new LinkHealth() {};

    /** The controller's side: what link monitoring reads from the controller and asks it to do. */
    interface Host {
        /** Returns whether this controller leads. */
        boolean leading();

        /** Returns the highest known term. */
        long term();

        /** Returns the leader of that term, or an empty string if it is not known. */
        String leader();

        /**
         * Reports a term known to another controller; {@code leader} is that controller if it leads, or else an empty
         * string.
         */
        void observeTerm(long term, String leader);

        /** Sends a small read to the key-value store to test the link to it. */
        void probeStore();

        /** Releases the leadership. */
        void releaseLeadership();

        /** Returns by how many milliseconds the timers of this process fire late. */
        long eventLoopLagMs();

        /** Returns whether this process cannot keep up with its work. */
        boolean overloaded();
    }

    /** Returns whether links are monitored. */
    default boolean enabled() {
        return false;
    }

    /**
     * Wraps the environment for use by the rest of the controller, so that the outcomes of its requests are observed.
     */
    default Environment observedEnvironment(Environment delegate) {
        return delegate;
    }

    /** Starts monitoring; called once all parts of the controller exist. */
    default void start(Host host) {}

    // ---- what the controller observes

    /** Records on a follower that a heartbeat arrived directly from its worker. */
    default void heartbeatReceived(Heartbeat heartbeat) {}

    /**
     * Records that the leader processed a heartbeat and responded to it.
     *
     * @param relayed whether another controller forwarded the heartbeat
     */
    default void heartbeatAnswered(Heartbeat heartbeat, boolean relayed) {}

    /** Records on the leader that a worker should exist, before any heartbeat from it. */
    default void workerExpected(String machine, String address) {}

    /** Records on the leader that a worker no longer exists. */
    default void workerRemoved(String machine) {}

    /**
     * Records that this controller leads from now on.
     *
     * @param firstToken the first fencing token of the term
     * @param changesInFlight supplies the number of transactions without a known outcome
     */
    default void elected(long term, long firstToken, IntSupplier changesInFlight) {}

    /** Records that this controller no longer leads. */
    default void deposed() {}

    // ---- announcements and views

    /**
     * Returns the controllers known to exchange views of their links, this one first, or an empty list if this one does
     * not.
     */
    default List<String> controllersExchangingViews() {
        return List.of();
    }

    /** Processes the term announcement of another controller. */
    default void announcementReceived(String controller, PeerMessage.TermAnnouncement announcement) {}

    /** Processes a view and returns the reply, or null if views are not exchanged or the view is malformed. */
    default PeerMessage receiveView(PeerMessage.LinkView view) {
        return null;
    }

    // ---- what the controller may do

    /**
     * Returns whether a fresh view of the leader lists the worker, so that redirecting the worker there is of no use.
     */
    default boolean leaderKnowsWorker(String leader, String machine) {
        return false;
    }

    /** Returns whether a fresh view of the leader reports that its requests do not reach the worker. */
    default boolean leaderCannotReachWorker(String leader, String machine) {
        return false;
    }

    /**
     * Returns who leads in {@code minTerm} or a later term according to other controllers, or an empty string if not
     * known. This is only a hint, as the others may be wrong.
     */
    default String leaderHint(long minTerm) {
        return "";
    }

    /** Returns whether requests to another controller keep failing, so that a further one is not worth waiting for. */
    default boolean peerUnreachable(String controller) {
        return false;
    }

    /** Returns whether a leader is handing over or has just done so, so that the next leader will be known soon. */
    default boolean leaderHandsOver(String leader) {
        return false;
    }

    /** Returns for how many more milliseconds this controller leaves a vacant leadership to other controllers. */
    default long electionDelayMs() {
        return 0;
    }

    /** Returns whether this leader is handing over, so that no new transactions may be sent. */
    default boolean handingOver() {
        return false;
    }

    /** Returns whether tasks may be started. */
    default boolean permitsTaskStart() {
        return true;
    }

    /** Returns whether tasks may be preempted. */
    default boolean permitsPreemption() {
        return true;
    }

    /** Returns whether machines may be rented (scale out). */
    default boolean permitsScaleOut() {
        return true;
    }

    /** Returns whether machines that are not needed may be returned to the provider (scale in). */
    default boolean permitsScaleIn() {
        return true;
    }

    /** Returns whether a silent machine may be presumed lost and returned to the provider. */
    default boolean permitsRemovingMachine(String machine) {
        return true;
    }

    /** Returns whether users' jobs may be accepted and cancelled. */
    default boolean permitsUserChanges() {
        return true;
    }

    /** Returns the state of all links for the administration API, or null if links are not monitored. */
    default ObjectNode describe() {
        return null;
    }
}
