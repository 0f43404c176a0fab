package stileferry.admission;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import stileferry.validation.InvalidInputException;

/**
 * One controller's door. By the leader's last table it turns requests away whose turn it is not, without asking
 * anybody. Without a valid table it turns nobody away. It admits nothing: what it lets through is decided by the
 * leader.
 */
public final class LoadShedder {
    private static final double MS_PER_S = 1000;

    /** Whoever meets a trouble comes back after so many seconds at most, so that its end is noticed soon. */
    private static final double LONGEST_TROUBLE_WAIT_S = AdmissionConfig.MAX_RETRY_AFTER_S / 3.0;

    private final AdmissionConfig config;
    private final DemandEstimator meter;
    private final Cache<String, Boolean> known;
    private final Cache<String, Boolean> due;
    private AdmissionWindowTable table;
    private long term;
    private long receivedAt;
    private long validUntil;
    private long refusedCount;

    /** Since when nobody was accepted though somebody was to be; -1: not so. */
    private long troubleSince = -1;

    /**
     * A door without a table.
     *
     * @param remembered accepted jobs that are remembered, so that nobody who asks again about one is turned away, and
     *     as many whose turn has come
     */
    public LoadShedder(AdmissionConfig config, int remembered) {
        InvalidInputException.require(config != null, "config", "missing");
        InvalidInputException.require(remembered > 0, "remembered", "not above 0: " + remembered);
        this.config = config;
        this.meter = new DemandEstimator(config);
        this.known = cache(remembered);
        this.due = cache(remembered);
    }

    private static Cache<String, Boolean> cache(int most) {
        return CacheBuilder.newBuilder().maximumSize(most).concurrencyLevel(1).build();
    }

    /** A term of leading is known; what a former leader said of turns holds no more. */
    public void observeTerm(long newTerm) {
        term = Math.max(term, newTerm);
    }

    /** Takes in a table that was asked for at one moment and received at another; older ones change nothing. */
    public void updateTable(AdmissionWindowTable newer, long askedAt, long now) {
        InvalidInputException.require(askedAt <= now, "askedAt", "after now");
        if (newer.term() < term || table != null && !newer.isAfter(table)) {
            return;
        }
        term = newer.term();
        table = newer;
        receivedAt = now;
        validUntil = askedAt + config.tableValidityMs();
    }

    /** Whether there is a table that may be used now. */
    public boolean hasValidTable(long now) {
        return table != null && table.term() == term && now < validUntil;
    }

    /** The last table, of whatever age; null: there never was one. */
    public AdmissionWindowTable lastTable() {
        return table;
    }

    /** Seconds since the last table was received. */
    public double tableAgeS(long now) {
        return (now - receivedAt) / MS_PER_S;
    }

    /** A job that was let through was refused all the same: its turn goes on until it is accepted. */
    public void recordDeferred(String id) {
        due.put(id, Boolean.TRUE);
    }

    /** A job was accepted, as its user was told here: whoever asks again is let through from now on. */
    public void recordAccepted(String id) {
        known.put(id, Boolean.TRUE);
        due.invalidate(id);
        troubleSince = -1;
    }

    /**
     * Seconds after which a request is worth another try that nobody could decide about, for want of a leader or of
     * time. They grow with the trouble, and differ from job to job, so that all who were refused do not return
     * together.
     */
    public int retryAfterFailureS(String id, long now) {
        troubleSince = troubleSince < 0 ? now : troubleSince;
        double lastedS = (now - troubleSince) / MS_PER_S;
        return AdmissionDecision.retryAfter(JobIdHash.ringPosition(id) * Math.min(LONGEST_TROUBLE_WAIT_S, 1 + lastedS))
                .retryAfterS();
    }

    /** Seconds after which a request is worth another try; 0: it is let through. */
    public int retryAfterS(Flow flow, String id, long now) {
        if (known.getIfPresent(id) != null || !hasValidTable(now) || due.getIfPresent(id) != null) {
            return 0;
        }
        double waitS = table.waitS(flow, id, tableAgeS(now));
        if (waitS == 0) {
            return 0;
        }
        meter.recordRequest(flow, id, now);
        refusedCount++;
        return AdmissionDecision.retryAfter(waitS).retryAfterS();
    }

    /** What was turned away here lately, for the leader's account of the demand; what was let through it knows. */
    public DemandReport demandReport(long now) {
        return new DemandReport(meter.currentSketches(now));
    }

    /** Requests that were turned away here since the start. */
    public long refusedCount() {
        return refusedCount;
    }
}
