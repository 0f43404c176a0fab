package stileferry.coordination;

import java.util.List;
import stileferry.protocol.Environment;
import stileferry.protocol.Settings;

/** Dealings with the cloud in one term: rents for what waits, returns what is idle, and watches the list. */
final class Provisioning {
    private final CloudClient cloud;
    private final MachineList list;
    private final MachineReturns returns;
    private final Rentals rentals;

    Provisioning(ClusterState cluster, Environment environment, Fleet fleet, long term, LinkAwareness links) {
        Settings settings = cluster.settings;
        this.cloud = new CloudClient(
                environment, settings.cloudAddr(), settings.cloud().rps());
        this.list = new MachineList(cluster, environment, cloud, fleet.commands()::announceTerm);
        this.returns = new MachineReturns(cluster, environment, fleet, cloud, list, links);
        this.rentals = new Rentals(cluster, environment, fleet, cloud, term);
    }

    void close() {
        cloud.close();
    }

    /** Reads the list of machines again when it is time. */
    void list() {
        list.list();
    }

    /** Returns what is lost or idle; before the leader is settled only what is certain. */
    void returnMachines(boolean settled) {
        returns.returnMachines(settled);
    }

    /** Rents for the jobs that wait. */
    void rent(List<Job> waiting) {
        rentals.rent(waiting);
    }
}
