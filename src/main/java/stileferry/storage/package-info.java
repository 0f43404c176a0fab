/**
 * Rate-limited client of the key-value store, and the leader's durable state.
 * {@link stileferry.storage.CommitQueue} packs changes into compare-and-swap transactions, and
 * {@link stileferry.storage.EventLog} stores many small events in a ring of shared records; docs/design.md ("Store")
 * describes the keys and their values.
 */
package stileferry.storage;
