package stileferry.overload;

import java.util.function.Consumer;
import stileferry.protocol.PeerMessage;
import stileferry.protocol.Settings;

/**
 * Hooks through which a controller applies fair admission under overload. In {@link #NONE}, which is used when the
 * feature is off, every submission is passed on and nothing is counted.
 */
public interface AdmissionControl {
    /** Fair admission is off. */
    AdmissionControl NONE = new AdmissionControl() {};

    /** The state of the controller that admission control reads, from {@link #start} on. */
    interface Host {
        /** Returns whether this controller is certain to lead and accepts jobs. */
        boolean mayAcceptChanges();

        /** Returns the highest known term. */
        long term();

        /** Returns the leader if it is known and another controller, else null. */
        Settings.Peer leaderPeer();

        /** Returns whether this controller, as the leader, knows a job. */
        boolean knowsJob(String id);

        /**
         * Returns the seconds that queued work needs at the key-value store's rate limits, or 0 if this controller does
         * not lead.
         */
        double backlogS();

        /** Returns whether the event loop lags: there is more work than this process can do in time. */
        boolean overloaded();

        /** Returns whether the event loop is close to being overloaded. */
        boolean saturated();
    }

    /** Returns whether accepted jobs are counted. */
    default boolean countsAdmissions() {
        return false;
    }

    /** Starts the periodic work; called once, after the whole controller has been created. */
    default void start(Host host) {}

    /** Called when this controller has become the leader of a term. */
    default void elected(long term) {}

    /** Called when this controller has ceased to lead. */
    default void deposed() {}

    /** Returns whether users should be directed to the other controllers, as this one is saturated. */
    default boolean shedsUsers() {
        return false;
    }

    /**
     * Rejects a submission here or passes it on.
     *
     * @param next passes the submission on to where it may be accepted, with the consumer of its response
     */
    default void admit(
            byte[] body, Consumer<PeerMessage.Response> reply, Consumer<Consumer<PeerMessage.Response>> next) {
        next.accept(reply);
    }

    /**
     * Returns after how many seconds to retry a request that exceeds the limit on concurrent requests, or 0 if the
     * request is exempt.
     */
    default int retryAfterS(PeerMessage.RequestKind kind, byte[] body) {
        return 1;
    }

    /** Forwards a user's request to the leader in a batch; only where {@link #acceptsBatches}. */
    default void forward(
            Settings.Peer leader, PeerMessage.ForwardedRequest request, long timeoutMs, Consumer<PeerMessage> reply) {
        throw new IllegalStateException("request batching requires fair admission");
    }

    /** Returns whether requests may be forwarded to this leader in batches. */
    default boolean acceptsBatches(Settings.Peer leader) {
        return false;
    }

    /**
     * Merges another controller's demand report and returns the table of admission windows, or null if this controller
     * does not lead or the report is malformed.
     */
    default PeerMessage exchange(PeerMessage.AdmissionExchange message) {
        return null;
    }

    /**
     * Responds to an operator's request for the view of admissions; returns false, without responding, if the feature
     * is off.
     */
    default boolean describe(Consumer<PeerMessage.Response> reply) {
        return false;
    }
}
