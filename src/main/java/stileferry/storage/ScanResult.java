package stileferry.storage;

import java.util.List;
import stileferry.protocol.KeyValue;

/**
 * The rows of all keys with a prefix, read in pages.
 *
 * @param rows the rows, or null if the read failed
 * @param revision the store's revision when the last page was read
 * @param firstRevision the store's revision when the first page was read; if no row is newer, all rows existed together
 *     at that revision
 */
public record ScanResult(List<KeyValue> rows, long revision, long firstRevision) {
    /** Result of a scan of which a page could not be read. */
    static final ScanResult FAILED = new ScanResult(null, 0, 0);

    /** Returns whether a page could not be read, so that there are no rows. */
    public boolean failed() {
        return rows == null;
    }
}
