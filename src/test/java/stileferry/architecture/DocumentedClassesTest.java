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

/**
 * Checks that every class named in the documentation exists, so that an on-call engineer can find it. Guards against
 * documents that still use the old name of a renamed or deleted class.
 */
class DocumentedClassesTest {
    /** A class name in backquotes, optionally with its package before it and a member after it. */
    private static final Pattern CLASS_NAME =
            Pattern.compile("`(?:stileferry\\.[a-z.]*)?([A-Z][a-z]+(?:[A-Z][A-Za-z]*)?)(?:[.(][A-Za-z()]*)?`");

    /** Names of the same form that are not classes of this project, such as HTTP headers, tools and JDK classes. */
    private static final Set<String> CLASSES_OUTSIDE_THE_PROJECT = Set.of("DataOutputStream");

    @ParameterizedTest
    @ValueSource(strings = {"README.md", "docs/architecture.md", "docs/glossary.md", "docs/design.md"})
    void everyClassNamedInTheDocumentExists(String document) throws IOException {
        Set<String> classNames = new TreeSet<>();
        Matcher classNameMatcher = CLASS_NAME.matcher(Files.readString(Path.of(document)));
        while (classNameMatcher.find()) {
            classNames.add(classNameMatcher.group(1));
        }
        assertFalse(classNames.isEmpty(), document + " names no classes");
        classNames.removeAll(CLASSES_OUTSIDE_THE_PROJECT);
        classNames.removeAll(sourceClassNames());
        assertEquals(Set.of(), classNames, document + " names classes that don't exist");
    }

    private static Set<String> sourceClassNames() throws IOException {
        try (Stream<Path> sourceFiles = Files.walk(Path.of("src"))) {
            return sourceFiles
                    .map(path -> path.getFileName().toString())
                    .filter(name -> name.endsWith(".java"))
                    .map(name -> name.substring(0, name.length() - ".java".length()))
                    .collect(Collectors.toSet());
        }
    }
}
