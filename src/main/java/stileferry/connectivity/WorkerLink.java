package stileferry.connectivity;

/** The links to one worker, in each direction, as this controller sees them. */
final class WorkerLink {
    /** Requests without an answer in a row after which the way to the worker counts as lost: one may get lost. */
    private static final int MAX_LOST_REQUESTS = 2;

    final String name;
    String address;

    /** Its number in this controller's views; never another worker's within an epoch. */
    int id;

    /** The number of its last change in this controller's views. */
    long version;

    /** The newest report that was seen, in the order of session and sequence. */
    private long incarnation = -1;

    private long sequence = -1;

    /** When it last reported straight to this controller; -1: it has not. */
    long directHeartbeatAt = -1;

    /** Since when its reports come by way of another controller, without one of its own between; -1: they do not. */
    long relayedSince = -1;

    /** When its last report was answered; before {@link #directHeartbeatAt}: not yet. */
    long heartbeatAnsweredAt = -1;

    /** When the outcome of a request to it was last known. */
    long outboundObservedAt;

    /** When anything was last seen of it. */
    long lastSeenAt;

    /** Since when its links are suspect here; -1: they are not. */
    long suspectSince = -1;

    /** Since when it is kept although it is silent, because another controller reaches it; -1: it is not. */
    long keptSince = -1;

    private int consecutiveLosses;

    /** When it last answered a question that was sent for that purpose, and when one last was in vain; -1: never. */
    long probeAnsweredAt = -1;

    long probeFailedAt = -1;

    // what the views of this controller say of it

    /** Something recent is known of the way to it. */
    boolean outboundKnown;

    /** It reports straight to this controller. */
    boolean inbound;

    /** What is sent to it arrives. */
    boolean outbound;

    boolean removed;

    /** It is in the set of workers with links that work. */
    boolean healthy;

    WorkerLink(String name, String address) {
        this.name = name;
        this.address = address;
    }

    /** Takes a report's number; false when a newer one was seen, so that this is a copy or came late. */
    boolean acceptIfNewer(WorkerHeartbeat report) {
        boolean newer = report.incarnation() > incarnation
                || report.incarnation() == incarnation && report.sequence() > sequence;
        if (newer) {
            incarnation = report.incarnation();
            sequence = report.sequence();
        }
        return newer;
    }

    /** Something that was sent has arrived. */
    void requestAnswered() {
        consecutiveLosses = 0;
    }

    /** Something that was sent got no answer; true when the way counts as lost from now on. */
    boolean requestFailed() {
        consecutiveLosses++;
        return consecutiveLosses >= MAX_LOST_REQUESTS;
    }

    /** Whether it was answered since its last report and has gone to another controller all the same. */
    boolean leftDespiteAnswers() {
        return directHeartbeatAt >= 0 && heartbeatAnsweredAt >= directHeartbeatAt && relayedSince < 0;
    }
}
