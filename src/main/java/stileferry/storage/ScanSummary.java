package stileferry.storage;

import stileferry.protocol.KeyValueStoreProtocol.ScanPage;

/**
 * What a scan has read so far.
 *
 * @param complete whether all pages have been read
 * @param rows the number of rows
 * @param pages the number of pages
 * @param revision the store's revision when the last page was read
 * @param firstRevision the store's revision when the first page was read
 */
public record ScanSummary(boolean complete, int rows, int pages, long revision, long firstRevision) {
    /** The summary before the first page has been read. */
    static final ScanSummary BEFORE_FIRST_PAGE = new ScanSummary(false, 0, 0, 0, 0);

    /** Returns the summary after one more page. */
    ScanSummary with(ScanPage page, boolean isLast) {
        return new ScanSummary(
                isLast,
                rows + page.rows().size(),
                pages + 1,
                page.revision(),
                pages == 0 ? page.revision() : firstRevision);
    }
}
