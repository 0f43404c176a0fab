/**
 * The key-value store's client under its rate limits, and the leader's durable records.
 * {@link stileferry.storage.CommitQueue} packs changes into compare-and-swap transactions,
 * {@link stileferry.storage.EventLog} lets many small events share records of a ring; docs/design.md ("Store") gives
 * the keys and their values.
 */
package stileferry.storage;
