package stileferry.coordination;

import stileferry.heartbeat.EventLoopLag;
import stileferry.leadership.LeaderElection;
import stileferry.links.LinkHealth;
import stileferry.storage.KeyValueStoreClient;

/** Gives link monitoring access to this controller's leadership, key-value store client and load. */
final class LinkHealthCallbacks implements LinkHealth.Host {
    private final LeaderElection election;
    private final KeyValueStoreClient store;
    private final EventLoopLag eventLoopLag;

    LinkHealthCallbacks(LeaderElection election, KeyValueStoreClient store, EventLoopLag eventLoopLag) {
        this.election = election;
        this.store = store;
        this.eventLoopLag = eventLoopLag;
    }

    @Override
    public boolean leading() {
        return election.leading();
    }

    @Override
    public long term() {
        return election.term();
    }

    @Override
    public String leader() {
        return election.leader();
    }

    @Override
    public void observeTerm(long term, String leader) {
        election.observeTerm(term, leader);
    }

    @Override
    public void probeStore() {
        store.get(LeaderElection.TERM_KEY, result -> {});
    }

    @Override
    public void releaseLeadership() {
        election.resign();
    }

    @Override
    public long eventLoopLagMs() {
        return eventLoopLag.lagMs();
    }

    @Override
    public boolean overloaded() {
        return eventLoopLag.overloaded();
    }
}
