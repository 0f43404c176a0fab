package stileferry.coordination;

import java.util.function.Supplier;
import stileferry.heartbeat.EventLoopLag;
import stileferry.leadership.LeaderElection;
import stileferry.overload.AdmissionControl;
import stileferry.protocol.Settings;

/** Gives admission control access to this controller's leadership, jobs and load. */
final class AdmissionCallbacks implements AdmissionControl.Host {
    private final Supplier<Leader> leader;
    private final LeaderElection election;
    private final EventLoopLag eventLoopLag;

    /** {@code leader} supplies null while this controller does not lead. */
    AdmissionCallbacks(Supplier<Leader> leader, LeaderElection election, EventLoopLag eventLoopLag) {
        this.leader = leader;
        this.election = election;
        this.eventLoopLag = eventLoopLag;
    }

    @Override
    public boolean mayAcceptChanges() {
        Leader current = leader.get();
        return current != null && current.mayAcceptChanges();
    }

    @Override
    public long term() {
        return election.term();
    }

    @Override
    public Settings.Peer leaderPeer() {
        return election.leaderPeer();
    }

    @Override
    public boolean knowsJob(String id) {
        Leader current = leader.get();
        return current != null && current.knowsJob(id);
    }

    @Override
    public double backlogS() {
        Leader current = leader.get();
        return current == null ? 0 : current.jobRequests().backlogS();
    }

    @Override
    public boolean overloaded() {
        return eventLoopLag.overloaded();
    }

    @Override
    public boolean saturated() {
        return eventLoopLag.saturated();
    }
}
