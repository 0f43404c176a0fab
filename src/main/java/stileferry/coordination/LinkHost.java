package stileferry.coordination;

import stileferry.heartbeat.EventLoopLag;
import stileferry.leadership.LeaderElection;
import stileferry.links.LinkHealth;
import stileferry.storage.KeyValueStoreClient;

/** What the watching of links calls. */
final class LinkHost implements LinkHealth.Host {
    private final LeaderElection election;
    private final KeyValueStoreClient store;
    private final EventLoopLag eventLoopLag;

    LinkHost(LeaderElection election, KeyValueStoreClient store, EventLoopLag eventLoopLag) {
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
