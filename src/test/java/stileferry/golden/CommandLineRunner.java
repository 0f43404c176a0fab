package stileferry.golden;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.lang.reflect.Method;
import java.lang.reflect.Modifier;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.stream.Collectors;
import picocli.CommandLine;
import stileferry.cli.Main;

/**
 * Runs commands of the command line in this process and captures what they print. It is the only golden test class that
 * refers to the command line's main class. It finds the factory method by its return type, so that the method may be
 * renamed freely.
 */
final class CommandLineRunner {
    private CommandLineRunner() {}

    /** The exit code of a command, and its standard output and standard error without trailing blanks on each line. */
    record Outcome(int exitCode, String out, String err) {}

    /** Runs a command, redirecting the standard streams of the whole process meanwhile. */
    static Outcome run(String... args) {
        PrintStream originalOut = System.out;
        PrintStream originalErr = System.err;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
        try {
            return new Outcome(newCommandLine().execute(args), outputText(out), outputText(err));
        } finally {
            System.setOut(originalOut);
            System.setErr(originalErr);
        }
    }

    private static CommandLine newCommandLine() {
        for (Method method : Main.class.getDeclaredMethods()) {
            if (Modifier.isStatic(method.getModifiers()) && method.getReturnType() == CommandLine.class) {
                try {
                    method.setAccessible(true);
                    return (CommandLine) method.invoke(null);
                } catch (ReflectiveOperationException e) {
                    throw new IllegalStateException(e);
                }
            }
        }
        throw new IllegalStateException("no static method of " + Main.class + " returns a CommandLine");
    }

    private static String outputText(ByteArrayOutputStream output) {
        return withoutTrailingBlanks(output.toString(StandardCharsets.UTF_8));
    }

    private static String withoutTrailingBlanks(String text) {
        return Arrays.stream(text.split("\n"))
                .map(String::stripTrailing)
                .collect(Collectors.joining("\n"))
                .stripTrailing();
    }

    /** Returns the text of a golden file, without trailing blanks on each line. */
    static String goldenFile(String name) {
        try (InputStream stream = CommandLineRunner.class.getResourceAsStream("/golden/" + name)) {
            if (stream == null) {
                throw new IllegalStateException("golden file not found: " + name);
            }
            return withoutTrailingBlanks(new String(stream.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
