package stileferry.storage;

import java.util.List;
import stileferry.protocol.KeyValue;
import stileferry.protocol.KeyValueStoreProtocol.ScanPage;

/**
 * All keys with a prefix, as read in pages.
 *
 * @param rows null when the read failed
 * @param revision the store's revision at the last page
 * @param firstRevision the store's revision at the first page; where no row is newer, the rows stood together at it
 */
public record ScanResult(List<KeyValue> rows, long revision, long firstRevision) {
    /** A page could not be read. */
    static final ScanResult FAILED = new ScanResult(null, 0, 0);

    /** Whether a page could not be read. */
    public boolean failed() {
        return rows == null;
    }

    /** The result with one more page. */
    ScanResult with(ScanPage page, boolean isFirst) {
        rows.addAll(page.rows());
        return new ScanResult(rows, page.revision(), isFirst ? page.revision() : firstRevision);
    }
}
