package stileferry.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The classes that the pages name exist, so that an on-call engineer who opens one finds it. */
class DocumentedClassesTest {
    /** A class name in code quotes, with or without a member behind it. */
    private static final Pattern CLASS_NAME =
            Pattern.compile("`(?:stileferry\\.[a-z.]*)?([A-Z][a-z]+(?:[A-Z][A-Za-z]*)?)(?:[.(][A-Za-z()]*)?`");

    /** Words of the same form that are no classes: headers of HTTP and tools. */
    private static final Set<String> CLASSES_OUTSIDE_THE_PROJECT = Set.of("DataOutputStream");

    @ParameterizedTest
    @ValueSource(strings = {"README.md", "docs/architecture.md", "docs/glossary.md", "docs/design.md"})
    void everyClassNamedInTheDocumentExists(String page) throws IOException {
        Set<String> named = new TreeSet<>();
        Matcher matcher = CLASS_NAME.matcher(Files.readString(Path.of(page)));
        while (matcher.find()) {
            named.add(matcher.group(1));
        }
        assertFalse(named.isEmpty(), page + " names no class");
        named.removeAll(CLASSES_OUTSIDE_THE_PROJECT);
        named.removeAll(sourceClassNames());
        assertEquals(Set.of(), named, page + " names classes that do not exist");
    }

    private static Set<String> sourceClassNames() throws IOException {
        try (Stream<Path> sources = Files.walk(Path.of("src"))) {
            return sources.map(path -> path.getFileName().toString())
                    .filter(name -> name.endsWith(".java"))
                    .map(name -> name.substring(0, name.length() - ".java".length()))
                    .collect(Collectors.toSet());
        }
    }
}
