package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.Lists;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MachineType;
import stileferry.protocol.Messages;
import stileferry.protocol.Options;
import stileferry.protocol.Outside;
import stileferry.protocol.Settings;
import stileferry.storage.Budget;

/** Dealings with the cloud in one term: rents for what waits, returns what is idle, and watches the list. */
final class Provisioning {
    private static final Logger LOG = LoggerFactory.getLogger("cloud");

    /** Multiple of the nominal boot time after which a machine is taken for one that never comes up. */
    private static final double BOOT_PATIENCE = 5;

    /** A machine that is deleted costs a minute at least, so it may as well wait for work that long. */
    private static final long PAID_MS = 55_000;

    private static final int MAX_RENT = 50;
    private static final int MAX_DELETE = 100;

    private final Board board;
    private final Outside outside;
    private final Fleet fleet;
    private final Budget calls;
    private final String requestPrefix;
    private final Map<String, Refusal> refusals = new HashMap<>();
    private final List<Rental> rentals = new ArrayList<>();
    private final long since;
    private long requests;
    private boolean listing;
    private long listedAt = -1;
    private boolean listedOnce;
    private boolean deleting;
    private boolean closed;
    private Set<String> unreachable = Set.of();
    private int spotMachines;
    private int allMachines;

    private static final class Refusal {
        long until;
        int count;
    }

    private static final class Rental {
        final String request;
        final MachineType type;
        final String zone;
        final boolean spot;
        final int count;
        final long sentAt;

        Rental(String request, MachineType type, String zone, boolean spot, int count, long sentAt) {
            this.request = request;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.count = count;
            this.sentAt = sentAt;
        }
    }

    /** Room that exists, is coming, or would have to be rented. */
    private static final class Bin {
        final MachineType type;
        final String zone;
        final boolean spot;
        double cpus;
        double gpus;
        double memory;

        Bin(MachineType type, String zone, boolean spot) {
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.cpus = type.cpus();
            this.gpus = type.gpus();
            this.memory = type.memoryGb();
        }

        boolean fits(JobSpec s) {
            return (s.spot() || !spot)
                    && (s.zone() == null || s.zone().equals(zone))
                    && s.fitsType(type)
                    && s.cpus() <= cpus + 1e-6
                    && s.gpus() <= gpus + 1e-6
                    && s.memoryGb() <= memory + 1e-6;
        }

        /** Takes as many tasks as fit, and returns how many. */
        int take(JobSpec s, int tasks) {
            int taken = 0;
            while (taken < tasks && fits(s)) {
                cpus -= s.cpus();
                gpus -= s.gpus();
                memory -= s.memoryGb();
                taken++;
            }
            return taken;
        }
    }

    Provisioning(Board board, Outside outside, Fleet fleet, long term) {
        this.board = board;
        this.outside = outside;
        this.fleet = fleet;
        this.calls = new Budget(outside, board.settings.cloud().rps() * 0.8, 1.5);
        this.since = outside.now();
        // No other leader has this term, so no name of a rental request is ever used twice.
        this.requestPrefix = "r-" + board.settings.node() + "-" + term + "-";
    }

    void close() {
        closed = true;
    }

    private void call(String method, String path, ObjectNode body, Outside.Reply reply) {
        outside.call(board.settings.cloudAddr(), method, path, body, 5000, (status, answer) -> {
            if (!closed) {
                reply.done(status, answer);
            }
        });
    }

    // ---- the list

    /** Reads the list again when it is time. */
    void list() {
        long now = outside.now();
        long every = Math.max(2000, Math.round(board.settings.cloud().listLagS() * 500));
        if (!listing && (listedAt < 0 || now - listedAt > every) && calls.take(1, 0)) {
            listing = true;
            page("", new ArrayList<>());
        }
    }

    private void page(String from, List<Messages.Listed> seen) {
        call("GET", "/hosts?most=500" + (from.isEmpty() ? "" : "&from=" + from), null, (status, body) -> {
            if (status != 200 || body == null) {
                listing = false;
                listedAt = outside.now();
                return;
            }
            seen.addAll(Messages.listed(body));
            if (body.path("more").asBoolean() && !seen.isEmpty()) {
                page(seen.get(seen.size() - 1).name(), seen);
                return;
            }
            listing = false;
            listedAt = outside.now();
            compare(seen);
        });
    }

    private void compare(List<Messages.Listed> list) {
        long now = outside.now();
        Set<String> names = new HashSet<>();
        for (Messages.Listed l : list) {
            if (board.deleted.contains(l.name())) {
                continue; // the list lags behind the deletion
            }
            names.add(l.name());
            Machine m = board.machine(l.name());
            m.listed = true;
            m.missingSince = 0;
            if (m.type == null || m.addr.isEmpty()) {
                m.addr = m.addr.isEmpty() ? l.addr() : m.addr;
                m.typeName = l.type();
                m.type = board.type(l.type());
                m.spot = l.spot();
                board.setZone(m, l.zone());
            }
            if (m.rentedAt == 0) {
                m.rentedAt = now - Math.round(l.ageS() * 1000);
            }
            if (!m.heard) {
                m.booting = l.state().equals("booting");
            }
            if (l.state().equals("failed") && !m.deleting) {
                LOG.info("machine {} has failed", m.name);
                m.deleting = true;
                board.rooms.update(m);
            }
        }
        for (Machine m : board.machines.values()) {
            if (m.listed && !names.contains(m.name) && m.missingSince == 0) {
                m.missingSince = now;
            }
        }
        if (!listedOnce) {
            listedOnce = true;
            fleet.commands().announceTerm();
        }
    }

    // ---- returning

    /** Marks what shall be deleted, and deletes it. */
    void returnMachines(boolean settled) {
        long now = outside.now();
        long lag = Math.round(board.settings.cloud().listLagS() * 1000);
        long lease = Math.round(board.settings.workers().leaseS() * 1000);
        double spare = settled ? spareCpus() : 0;
        Set<Machine> lost = settled ? new HashSet<>(fleet.failures().lost(since)) : Set.of();
        for (Machine m : board.machines.values()) {
            if (m.deleting) {
                continue;
            }
            String why = null;
            long quiet = now - Math.max(since, m.rentedAt); // a new leader has not been there to hear it before
            if (m.missingSince != 0
                    && now - m.missingSince > lag / 2
                    && (fleet.failures().silent(m) || !m.heard)) {
                // Listed before and not listed now: it is gone. Deleting it is free and makes that certain.
                why = "it is not listed any more";
            } else if (!m.heard
                    && m.booting
                    && m.type != null
                    && m.claims.isEmpty()
                    && m.rentedAt != 0
                    && now - m.rentedAt > BOOT_PATIENCE * 1000 * m.type.bootS()
                    && settled) {
                why = "it never came up";
            } else if (!m.heard
                    && !m.listed
                    && !m.claims.isEmpty()
                    && settled
                    && listedOnce
                    && quiet > 2 * lag + lease) {
                why = "nobody knows it";
            } else if (lost.contains(m)) {
                // the deletion proves sooner than the lease that its tasks are gone
                why = m.spot ? "it was taken without a word" : "it is silent, though its zone is not";
            } else if (m.lapsedSession >= m.session
                    && m.claims.isEmpty()
                    && !m.booting
                    && Math.min(quiet, now - m.heardAt) > 3 * lease) {
                why = "it is silent";
            } else if (m.unreachedSince != 0 && now - m.unreachedSince > 3 * lease && settled) {
                why = "it reports, but nothing that it is told reaches it";
            } else if (m.heard
                    && m.claims.isEmpty()
                    && settled
                    && !fleet.failures().silent(m)
                    && (m.noticeS >= 0 || m.faulty || m.draining)) {
                why = "it is empty and shall not be used";
            } else if (m.heard
                    && m.claims.isEmpty()
                    && settled
                    && m.type != null
                    && !m.strays
                    && now - m.idleSince > idleMs(m)
                    && now - m.rentedAt > PAID_MS
                    && (m.spot || spare >= m.type.cpus())) {
                why = "it is idle";
                spare -= m.spot ? 0 : m.type.cpus();
            }
            for (Claim c : m.claims.values()) {
                if (c.job.cancelled
                        && c.stopAskedAt > 0
                        && now - c.stopAskedAt > 800 * board.settings.workers().cancelS()) {
                    why = "a cancelled task on it can't be stopped";
                }
            }
            if (why != null) {
                LOG.info("returning machine {} with {} tasks: {}", m.name, m.claims.size(), why);
                m.deleting = true;
                board.rooms.update(m);
            }
        }
        delete();
    }

    /** A machine is kept for a while: renting another takes its boot time. */
    private long idleMs(Machine m) {
        return Math.round(1000 * board.options.number(Options.IDLE_BOOTS) * m.type.bootS());
    }

    private void delete() {
        List<String> names = new ArrayList<>();
        for (Machine m : board.machines.values()) {
            if (m.deleting && names.size() < MAX_DELETE) {
                names.add(m.name);
            }
        }
        if (deleting || names.isEmpty() || !calls.take(1, 0)) {
            return;
        }
        deleting = true;
        call("POST", "/hosts/delete", Messages.machines(names), (status, body) -> {
            deleting = false;
            if (status == 200) {
                for (String name : names) {
                    Machine m = board.machines.get(name);
                    if (m != null) {
                        fleet.deleted(m);
                    }
                }
            }
        });
    }

    // ---- renting

    /** CPUs free on ordinary machines beyond what is kept for critical work. */
    private double spareCpus() {
        double free = 0;
        double critical = 0;
        double largest = 0;
        for (Machine m : board.machines.values()) {
            if (m.usable() && !m.spot) {
                free += m.type.cpus() - m.usedCpus();
            }
            for (Claim c : m.claims.values()) {
                if (c.job.spec.priority() == JobSpec.Priority.CRITICAL) {
                    critical += c.job.spec.cpus();
                    largest = Math.max(largest, c.job.spec.cpus());
                }
            }
        }
        return free - Math.max(largest, critical * board.options.number(Options.SPARE_SHARE));
    }

    /** Rents for the jobs that wait, after counting the machines that boot. */
    void rent(List<Job> waiting) {
        repeatRentals();
        unreachable = fleet.failures().unreachableZones(since); // what boots there can't report
        List<Bin> coming = new ArrayList<>();
        Map<String, Integer> perZone = new HashMap<>();
        spotMachines = 0;
        allMachines = 0;
        for (Machine m : board.machines.values()) {
            if (m.deleting || m.type == null) {
                continue;
            }
            allMachines++;
            spotMachines += m.spot ? 1 : 0;
            perZone.merge(m.zone, 1, Integer::sum);
            if (m.booting) { // what is said to run but does not report is no room to count on
                coming.add(new Bin(m.type, m.zone, m.spot));
            }
        }
        for (Rental r : rentals) {
            for (int i = 0; i < r.count; i++) {
                coming.add(new Bin(r.type, r.zone, r.spot));
            }
            allMachines += r.count;
            spotMachines += r.spot ? r.count : 0;
            perZone.merge(r.zone, r.count, Integer::sum);
        }
        int known = coming.size();
        Map<String, Double> teamCpus = new HashMap<>();
        for (Job job : waiting) {
            int n = withinLimit(job, teamCpus);
            String zone = job.spec.gang() && job.spec.oneZone() ? zoneFor(job.spec, n, coming, perZone) : null;
            n -= fill(job.spec, n, coming, zone);
            while (n > 0) {
                Bin bin = cheapest(job.spec, perZone, zone);
                if (bin == null) {
                    break;
                }
                perZone.merge(bin.zone, 1, Integer::sum);
                allMachines++;
                spotMachines += bin.spot ? 1 : 0;
                coming.add(bin);
                n -= bin.take(job.spec, n);
            }
        }
        Map<String, List<Bin>> groups = new HashMap<>();
        for (Bin bin : coming.subList(known, coming.size())) {
            groups.computeIfAbsent(group(bin.type, bin.zone, bin.spot), g -> new ArrayList<>())
                    .add(bin);
        }
        List<List<Bin>> parts = new ArrayList<>();
        groups.values().forEach(bins -> parts.addAll(Lists.partition(bins, MAX_RENT)));
        parts.sort(Comparator.comparingInt(bins -> -bins.size())); // calls are few: those that bring most go first
        for (List<Bin> bins : parts) {
            if (!calls.take(1, 0)) {
                return;
            }
            Bin b = bins.get(0);
            Rental rental = new Rental(requestPrefix + ++requests, b.type, b.zone, b.spot, bins.size(), outside.now());
            rentals.add(rental);
            send(rental);
        }
    }

    /** How many of a job's waiting tasks its team may still run, after what earlier jobs were promised. */
    private int withinLimit(Job job, Map<String, Double> teamCpus) {
        Settings.Team team = board.settings.team(job.spec.team());
        int tasks = job.waitingCount();
        if (team == null || team.cpusMax() == 0 || job.spec.cpus() == 0) {
            return tasks;
        }
        double used = teamCpus.getOrDefault(team.name(), board.cpusOf(team.name()));
        int most = (int) Math.max(0, Math.min(tasks, (team.cpusMax() - used + 1e-6) / job.spec.cpus()));
        teamCpus.put(team.name(), used + most * job.spec.cpus());
        return most;
    }

    /** Puts tasks into what is coming, in one zone or (null) in any; returns how many fit. */
    private static int fill(JobSpec spec, int tasks, List<Bin> bins, String zone) {
        int taken = 0;
        for (Bin bin : bins) {
            if (taken == tasks) {
                break;
            }
            taken += zone == null || zone.equals(bin.zone) ? bin.take(spec, tasks - taken) : 0;
        }
        return taken;
    }

    /**
     * The one zone for a gang: where most of it has room soon, else where a machine is to be had at the lowest price.
     */
    private String zoneFor(JobSpec spec, int tasks, List<Bin> coming, Map<String, Integer> perZone) {
        Map<String, Integer> room = new HashMap<>();
        for (Bin bin : coming) {
            if (bin.fits(spec)) {
                int more = spec.cpus() > 0 ? (int) Math.max(1, bin.cpus / spec.cpus()) : 1;
                room.merge(bin.zone, more, Integer::sum);
            }
        }
        String best = null;
        for (Map.Entry<String, Integer> e : room.entrySet()) {
            if (!unreachable.contains(e.getKey())
                    && (best == null
                            || e.getValue() > room.get(best)
                            || e.getValue().equals(room.get(best)) && e.getKey().compareTo(best) < 0)) {
                best = e.getKey();
            }
        }
        if (best != null && (room.get(best) >= tasks || cheapest(spec, perZone, best) != null)) {
            return best;
        }
        Bin bin = cheapest(spec, perZone, null);
        return bin == null ? null : bin.zone;
    }

    /** The machine to rent next for a job that nothing that is coming has room for. */
    private Bin cheapest(JobSpec spec, Map<String, Integer> perZone, String onlyZone) {
        Bin best = null;
        boolean moreSpot = spotMachines + 1 <= board.options.number(Options.SPOT_SHARE) * (allMachines + 1);
        for (MachineType type : board.types) {
            for (String zone : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    Bin bin = new Bin(type, zone, spot);
                    Refusal refusal = refusals.get(group(type, zone, spot));
                    if ((!spot || moreSpot)
                            && (refusal == null || refusal.until <= outside.now())
                            && !unreachable.contains(zone)
                            && bin.fits(spec)
                            && (onlyZone == null || onlyZone.equals(zone))
                            && (best == null || cheaper(bin, best, perZone))) {
                        best = bin;
                    }
                }
            }
        }
        return best;
    }

    private static boolean cheaper(Bin bin, Bin than, Map<String, Integer> perZone) {
        double price = bin.spot ? bin.type.spotPrice() : bin.type.price();
        double other = than.spot ? than.type.spotPrice() : than.type.price();
        if (price != other) {
            return price < other;
        }
        return perZone.getOrDefault(bin.zone, 0) < perZone.getOrDefault(than.zone, 0);
    }

    private static String group(MachineType type, String zone, boolean spot) {
        return type.name() + "|" + zone + "|" + spot;
    }

    private void repeatRentals() {
        for (Rental r : List.copyOf(rentals)) {
            if (outside.now() - r.sentAt > 6000 && calls.take(1, 0)) {
                rentals.remove(r);
                Rental again = new Rental(r.request, r.type, r.zone, r.spot, r.count, outside.now());
                rentals.add(again);
                send(again);
            }
        }
    }

    private void send(Rental r) {
        call(
                "POST",
                "/hosts",
                Messages.rent(r.request, r.type.name(), r.zone, r.spot, r.count),
                (status, body) -> answered(r, status, body));
    }

    private void answered(Rental r, int status, JsonNode body) {
        String group = group(r.type, r.zone, r.spot);
        if (status == 200 && body != null) {
            rentals.removeIf(x -> x.request.equals(r.request));
            List<String> names = Messages.rented(body);
            LOG.info(
                    "rented {} of {} {} {} in {}",
                    names.size(),
                    r.count,
                    r.spot ? "spot" : "ordinary",
                    r.type.name(),
                    r.zone);
            for (String name : names) {
                Machine m = board.machine(name);
                m.type = r.type;
                m.typeName = r.type.name();
                m.spot = r.spot;
                m.rentedAt = r.sentAt;
                m.booting = !m.heard;
                board.setZone(m, r.zone);
            }
            if (names.size() < r.count) {
                refuse(group, r);
            } else {
                refusals.remove(group);
            }
        } else if (status == 503 && body != null && body.path("error").asText().startsWith("no")) {
            rentals.removeIf(x -> x.request.equals(r.request));
            refuse(group, r);
        } else if (status == 400) {
            rentals.removeIf(x -> x.request.equals(r.request));
            LOG.error("the cloud calls a rental malformed: {}", body);
        }
        // anything else: the outcome is unknown or nothing was done, and the same request is sent again later
    }

    private void refuse(String group, Rental r) {
        Refusal refusal = refusals.computeIfAbsent(group, g -> new Refusal());
        long pause = Math.round(r.type.bootS() * 500) << Math.min(1, refusal.count++);
        refusal.until = outside.now() + pause;
        LOG.info(
                "no more {} {} in {}, asking again in {} s",
                r.spot ? "spot" : "ordinary",
                r.type.name(),
                r.zone,
                pause / 1000);
    }
}
