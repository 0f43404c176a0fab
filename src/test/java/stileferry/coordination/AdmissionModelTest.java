package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import stileferry.admission.AdmissionWindow;
import stileferry.admission.AdmissionWindowTable;
import stileferry.admission.Flow;
import stileferry.admission.LoadShedder;
import stileferry.cluster.Job;
import stileferry.coordination.AdmissionModel.CountMode;
import stileferry.coordination.AdmissionModel.Event;
import stileferry.overload.AdmissionSettings;

/**
 * A model check of the count of admissions, with the real queue of commits, count and door: every sequence of events up
 * to a depth is played in {@link AdmissionModel}. States that were seen before are not explored again.
 */
class AdmissionModelTest {
    private static final int DEPTH = 7;
    private static final Flow FLOW = new Flow("red", "*", 2);

    /** What a search found: the first sequence that breaks the invariant, if any, and how many states it saw. */
    private record SearchResult(List<Event> violatingSequence, int stateCount) {}

    private static AdmissionModel replay(CountMode count, List<Event> events) {
        AdmissionModel model = new AdmissionModel(count);
        events.forEach(model::apply);
        return model;
    }

    private static SearchResult search(CountMode count) {
        Set<String> seen = new HashSet<>();
        ArrayDeque<List<Event>> open = new ArrayDeque<>();
        open.add(List.of());
        while (!open.isEmpty()) {
            List<Event> events = open.poll();
            for (Event event : Event.values()) {
                AdmissionModel model = replay(count, events);
                if (!model.apply(event)) {
                    continue;
                }
                List<Event> longer = new ArrayList<>(events);
                longer.add(event);
                if (model.countedAdmissions() != model.rows(Job.PREFIX).size()) {
                    return new SearchResult(longer, seen.size());
                }
                if (seen.add(model.signature()) && longer.size() < DEPTH) {
                    open.add(longer);
                }
            }
        }
        return new SearchResult(null, seen.size());
    }

    @Test
    void noSequenceOfEventsDoublesOrLosesACount() {
        SearchResult found = search(CountMode.SAME_TRANSACTION);
        assertEquals(null, found.violatingSequence());
        assertTrue(found.stateCount() > 300, "states: " + found.stateCount());
    }

    @Test
    void aCountWrittenInASeparateTransactionIsDetected() {
        SearchResult found = search(CountMode.SEPARATE_TRANSACTION);
        assertFalse(found.violatingSequence() == null, "not found in " + found.stateCount() + " states");
    }

    /**
     * Tables of two terms in every order, some twice, with the terms learnt in between: none of a former term holds.
     */
    @Test
    void noWindowTableOfAFormerTermIsUsedInAnyOrder() {
        List<AdmissionWindowTable> tables = new ArrayList<>();
        for (long[] number : new long[][] {{1, 1}, {1, 2}, {2, 1}, {2, 2}}) {
            tables.add(new AdmissionWindowTable(
                    number[0], number[1], new TreeMap<>(java.util.Map.of(FLOW, new AdmissionWindow(0.5, 0.01)))));
        }
        int orders = 0;
        int events = tables.size() + 2; // a table arrives, or a term is learnt
        for (int code = 0; code < Math.pow(events, 5); code++) {
            LoadShedder door = new LoadShedder(AdmissionSettings.config(AdmissionModel.settings()), 10);
            long known = 0;
            for (int rest = code, i = 0; i < 5; i++, rest /= events) {
                int event = rest % events;
                if (event < tables.size()) {
                    known = Math.max(known, tables.get(event).term());
                    door.updateTable(tables.get(event), 1, 1);
                } else {
                    known = Math.max(known, event - tables.size() + 1);
                    door.observeTerm(known);
                }
                if (door.hasValidTable(2)) {
                    assertEquals(known, door.lastTable().term());
                }
            }
            orders++;
        }
        assertEquals(7776, orders);
    }
}
