package stileferry.connectivity;

/** The links to one worker, in each direction, as this controller sees them. */
final class WorkerLink {
    /** Requests without an answer in a row after which the way to the worker counts as lost: one may get lost. */
    private static final int LOST_REQUESTS = 2;

    final String name;
    String address;

    /** Its number in this controller's views; never another worker's within an epoch. */
    int index;

    /** The number of its last change in this controller's views. */
    long change;

    /** The newest report that was seen, in the order of session and sequence. */
    private long session = -1;

    private long sequence = -1;

    /** When it last reported straight to this controller; -1: it has not. */
    long directAt = -1;

    /** Since when its reports come by way of another controller, without one of its own between; -1: they do not. */
    long relayedSince = -1;

    /** When its last report was answered; before {@link #directAt}: not yet. */
    long answeredAt = -1;

    /** When the outcome of a request to it was last known. */
    long examinedAt;

    /** When anything was last seen of it. */
    long evidenceAt;

    /** Since when its links are suspect here; -1: they are not. */
    long suspectSince = -1;

    /** Since when it is kept although it is silent, because another controller reaches it; -1: it is not. */
    long keptSince = -1;

    private int requestsLost;

    /** When it last answered a question that was sent for that purpose, and when one last was in vain; -1: never. */
    long probeAnsweredAt = -1;

    long probeFailedAt = -1;

    // what the views of this controller say of it

    /** Something recent is known of the way to it. */
    boolean examined;

    /** It reports straight to this controller. */
    boolean inbound;

    /** What is sent to it arrives. */
    boolean outbound;

    boolean departed;

    /** It is in the set of workers with links that work. */
    boolean sound;

    WorkerLink(String name, String address) {
        this.name = name;
        this.address = address;
    }

    /** Takes a report's number; false when a newer one was seen, so that this is a copy or came late. */
    boolean takeNumber(WorkerHeartbeat report) {
        boolean newer =
                report.incarnation() > session || report.incarnation() == session && report.sequence() > sequence;
        if (newer) {
            session = report.incarnation();
            sequence = report.sequence();
        }
        return newer;
    }

    /** Something that was sent has arrived. */
    void requestArrived() {
        requestsLost = 0;
    }

    /** Something that was sent got no answer; true when the way counts as lost from now on. */
    boolean requestLost() {
        requestsLost++;
        return requestsLost >= LOST_REQUESTS;
    }

    /** Whether it was answered since its last report and has gone to another controller all the same. */
    boolean leftAlthoughAnswered() {
        return directAt >= 0 && answeredAt >= directAt && relayedSince < 0;
    }
}
