package stileferry.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The themed field names of the published protocol stand in one place; everything else uses the field's terms. */
class WireNamesTest {
    private static final Path SOURCES = Path.of("src/main/java/stileferry");

    /** The classes that map wire names to the code's terms. */
    private static final Set<String> EDGE = Set.of("protocol/WireNames.java", "protocol/KeyValueStoreProtocol.java");

    /** Field names of the wire that are no words of the code. */
    private static final Pattern THEMED_NAME = Pattern.compile("\"(name_id|tide|helm|harbors?|harbormaster|"
            + "passengers?|launch|berth|crew|cargo|voyage|mooring|ashore_s|vessel|charter|hulls?|craft|precedence|"
            + "same_place|tender|crossing_s|waypoint_s|stow_s|moor_by_s|pull_gb|recall_s|landing_cause|log_seq|"
            + "entry_rev|ledger_rev|life_ms)\"");

    @Test
    void themedNamesStandOnlyAtTheEdge() throws IOException {
        assertEquals(Set.of(), filesWithThemedNames(false));
    }

    /** The edge does name them, so that the check above sees what it looks for. */
    @Test
    void theEdgeNamesThem() throws IOException {
        assertEquals(EDGE, filesWithThemedNames(true));
        assertTrue(THEMED_NAME.matcher("map.put(\"helm\", term)").find());
    }

    private static Set<String> filesWithThemedNames(boolean atTheEdge) throws IOException {
        Set<String> files = new TreeSet<>();
        try (Stream<Path> sources = Files.walk(SOURCES)) {
            for (Path source :
                    (Iterable<Path>) sources.filter(path -> path.toString().endsWith(".java"))::iterator) {
                String name = SOURCES.relativize(source).toString();
                if (EDGE.contains(name) == atTheEdge
                        && THEMED_NAME.matcher(Files.readString(source)).find()) {
                    files.add(name);
                }
            }
        }
        return files;
    }
}
