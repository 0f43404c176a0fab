package stileferry.storage;

import java.util.List;
import stileferry.protocol.KeyValue;

/**
 * A whole prefix as read in pages; null rows mean that the read failed.
 *
 * @param revision of the last page
 * @param firstRevision of the first page; where no row is newer, the rows stood together at it
 */
public record ScanResult(List<KeyValue> rows, long revision, long firstRevision) {}
