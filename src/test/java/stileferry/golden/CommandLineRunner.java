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
 * Runs commands inside this process and keeps what they print. The only golden class that knows the class of the
 * command line; the method that makes the commands is found by what it returns, so that its name is free.
 */
final class CommandLineRunner {
    private CommandLineRunner() {}

    /** What a command left behind; each line of the two texts is without blanks at its end. */
    record Outcome(int exitCode, String out, String err) {}

    /** Runs one command. */
    static Outcome run(String... args) {
        PrintStream outBefore = System.out;
        PrintStream errBefore = System.err;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
        try {
            return new Outcome(newCommandLine().execute(args), outputText(out), outputText(err));
        } finally {
            System.setOut(outBefore);
            System.setErr(errBefore);
        }
    }

    private static CommandLine newCommandLine() {
        for (Method method : Main.class.getDeclaredMethods()) {
            if (Modifier.isStatic(method.getModifiers()) && method.getReturnType() == CommandLine.class) {
                try {
                    method.setAccessible(true);
                    return (CommandLine) method.invoke(null);
                } catch (ReflectiveOperationException problem) {
                    throw new IllegalStateException(problem);
                }
            }
        }
        throw new IllegalStateException("nothing in " + Main.class + " makes a command line");
    }

    private static String outputText(ByteArrayOutputStream bytes) {
        return withoutTrailingBlanks(bytes.toString(StandardCharsets.UTF_8));
    }

    private static String withoutTrailingBlanks(String text) {
        return Arrays.stream(text.split("\n"))
                .map(String::stripTrailing)
                .collect(Collectors.joining("\n"))
                .stripTrailing();
    }

    /** A file of literal expectations. */
    static String goldenFile(String name) {
        try (InputStream stream = CommandLineRunner.class.getResourceAsStream("/golden/" + name)) {
            if (stream == null) {
                throw new IllegalStateException("no golden file " + name);
            }
            return withoutTrailingBlanks(new String(stream.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException problem) {
            throw new IllegalStateException(problem);
        }
    }
}
