package stileferry.overload;

import java.util.function.Consumer;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;

/**
 * What a controller does differently where admissions are divided under overload. Without that, as {@link #NONE} says,
 * everything is passed on and nothing is counted.
 */
public interface AdmissionControl {
    /** Nobody divides admissions. */
    AdmissionControl NONE = new AdmissionControl() {};

    /** What it calls from the inside, once all of the controller has been made. */
    interface Host {
        /** Whether this controller leads, for sure, and accepts jobs. */
        boolean mayAcceptChanges();

        /** The highest term that is known. */
        long term();

        /** Who leads, if it is another controller and known; null otherwise. */
        Settings.Peer leaderPeer();

        /** Whether this controller, as the leader, knows a job. */
        boolean knowsJob(String id);

        /** Seconds of the key-value store's rates that wait at this controller, as the leader. */
        double backlogS();

        /** Whether there is more to do than this process can do in time. */
        boolean overloaded();

        /** Whether there is about as much to do as can be done in time. */
        boolean saturated();
    }

    /** Whether what is accepted is counted. */
    default boolean countsAdmissions() {
        return false;
    }

    /** Begins to work. */
    default void start(Host host) {}

    /** This controller leads in this term from now on. */
    default void elected(long term) {}

    /** This controller no longer leads. */
    default void deposed() {}

    /** Whether users had better be sent to the other controllers. */
    default boolean shedsUsers() {
        return false;
    }

    /** Takes a submission: it is refused here, or passed on to where it is accepted. */
    default void admit(
            byte[] body, Consumer<PeerMessage.Response> reply, Consumer<Consumer<PeerMessage.Response>> passOn) {
        passOn.accept(reply);
    }

    /** Seconds after which a request that met the limit on requests in progress is worth a try; 0: it may pass it. */
    default int retryAfterS(PeerMessage.RequestKind kind, byte[] body) {
        return 1;
    }

    /** Sends a user's request to the leader. */
    default void forward(
            Settings.Peer leader, PeerMessage.ForwardedRequest request, long patienceMs, Consumer<PeerMessage> reply) {
        throw new IllegalStateException("requests are not sent together");
    }

    /** Whether requests to this leader may be sent together. */
    default boolean acceptsBatches(Settings.Peer leader) {
        return false;
    }

    /** Takes in another controller's demand and returns the leader's table; null: this controller has none. */
    default PeerMessage exchange(PeerMessage.AdmissionExchange message) {
        return null;
    }

    /** Answers an operator's question about admissions; false: they are not divided here. */
    default boolean describe(Consumer<PeerMessage.Response> reply) {
        return false;
    }
}
