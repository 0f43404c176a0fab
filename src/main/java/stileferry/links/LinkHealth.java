package stileferry.links;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.IntSupplier;
import stileferry.protocol.Environment;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.PeerMessage;

/**
 * What a controller knows of its links, and what it may do while some of them fail. Where links are not monitored
 * ({@link #NONE}) nothing is known and everything is permitted.
 */
public interface LinkHealth {
    /** Links are not monitored. */
    LinkHealth NONE = new LinkHealth() {};

    /** What link health needs of the controller, once all of it has been made. */
    interface Host {
        /** Whether this node leads. */
        boolean leading();

        /** The highest term that is known. */
        long term();

        /** Who leads in it; empty: not known. */
        String leader();

        /** Takes in a term that another controller knows, and its name if it leads in it itself. */
        void observeTerm(long term, String leader);

        /** Reads something small from the key-value store, to see whether the link to it works. */
        void probeStore();

        /** Releases the leadership. */
        void releaseLeadership();

        /** By how many milliseconds timers are late. */
        long eventLoopLagMs();

        /** Whether this process is behind with its work. */
        boolean overloaded();
    }

    /** Whether links are monitored. */
    default boolean enabled() {
        return false;
    }

    /** The environment that the rest of the controller has to use, so that its requests are observed. */
    default Environment observedEnvironment(Environment delegate) {
        return delegate;
    }

    /** Begins to monitor. */
    default void start(Host host) {}

    // ---- what the controller observes

    /** A follower got a heartbeat straight from its worker. */
    default void heartbeatReceived(Heartbeat heartbeat) {}

    /** The leader took a heartbeat in and answered it; {@code relayed}: it came by way of another controller. */
    default void heartbeatAnswered(Heartbeat heartbeat, boolean relayed) {}

    /** The leader knows that a worker should be there. */
    default void workerExpected(String machine, String address) {}

    /** The leader knows that a worker is gone. */
    default void workerRemoved(String machine) {}

    /** This node leads from now on; {@code changesInFlight}: transactions without a known outcome. */
    default void elected(long term, IntSupplier changesInFlight) {}

    /** This node no longer leads. */
    default void deposed() {}

    // ---- announcements and views

    /** The controllers that are known to exchange views of their links, this one first; empty: it does not. */
    default List<String> controllersExchangingViews() {
        return List.of();
    }

    /** Takes in what another controller, of which the name is known, announced with its term. */
    default void announcementReceived(String controller, PeerMessage.TermAnnouncement announcement) {}

    /** Takes in a view and returns the answer; null: views are not exchanged. */
    default PeerMessage receiveView(PeerMessage.LinkView view) {
        return null;
    }

    // ---- what the controller may do

    /** Whether the leader reports that it received a worker's heartbeat in its term, so that a redirect is no use. */
    default boolean leaderKnowsWorker(String leader, String machine) {
        return false;
    }

    /** Whether the leader reports that its requests do not reach a worker. */
    default boolean leaderCannotReachWorker(String leader, String machine) {
        return false;
    }

    /** Who leads in this term or a later one, as others report; empty: not known. A hint, as they may be wrong. */
    default String leaderHint(long term) {
        return "";
    }

    /** Whether requests to another controller have lately failed, so that there is no use in waiting for one. */
    default boolean peerUnreachable(String controller) {
        return false;
    }

    /** Whether a leader is handing over or just has, so that the next one will be known at once. */
    default boolean leaderHandsOver(String leader) {
        return false;
    }

    /** For how long a free leadership is left to others, in milliseconds. */
    default long electionDelayMs() {
        return 0;
    }

    /** Whether the leader is about to hand over, so that nothing new is written. */
    default boolean handingOver() {
        return false;
    }

    /** Whether tasks may be started. */
    default boolean permitsTaskStart() {
        return true;
    }

    /** Whether tasks may be preempted. */
    default boolean permitsPreemption() {
        return true;
    }

    /** Whether machines may be rented (scale out). */
    default boolean permitsScaleOut() {
        return true;
    }

    /** Whether machines that are not needed may be returned (scale in). */
    default boolean permitsScaleIn() {
        return true;
    }

    /** Whether a silent machine may be taken for lost and returned. */
    default boolean permitsRemovingMachine(String machine) {
        return true;
    }

    /** Whether users' jobs may be accepted and cancelled. */
    default boolean permitsUserChanges() {
        return true;
    }

    /** All that is known of the links; null: they are not monitored. */
    default ObjectNode describe() {
        return null;
    }
}
