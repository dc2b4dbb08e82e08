package crankwick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that the external names in config/outer-names.txt still occur in the sources or deploy files. A rename that
 * also changes a name on the wire, in a setting or in the log breaks other programs without failing any other test.
 */
class OuterNamesTest {
    private static final Path LIST = Path.of("config/outer-names.txt");
    private static final Path SOURCES = Path.of("src/main/java");
    private static final List<Path> DEPLOY_FILES = List.of(Path.of("deploy/balancer.toml"), Path.of("deploy/tds.toml"));

    /** Matches string literals, and also comments and character literals, so that quotes within these are skipped. */
    private static final Pattern TOKEN = Pattern.compile(
            "//[^\n]*|/\\*.*?\\*/|\"\"\".*?\"\"\"|\"(?:\\\\.|[^\"\\\\\n])*\"|'(?:\\\\.|[^'\\\\])'", Pattern.DOTALL);

    /** Captures the constants of an enum: the text up to the first semicolon or closing brace outside a comment. */
    private static final Pattern ENUM_CONSTANTS =
            Pattern.compile("\\benum \\w+[^{]*\\{((?:/\\*.*?\\*/|[^;}])*)", Pattern.DOTALL);

    @Test
    void externalNamesOccurInSourcesOrDeployFiles() throws IOException {
        List<String> sources = sources();
        String literalsAndDeployFiles =
                sources.stream().map(OuterNamesTest::literals).collect(Collectors.joining("\n")) + "\n" + deployFiles();
        String constants = sources.stream().map(OuterNamesTest::enumConstants).collect(Collectors.joining("\n"));

        List<String> missing = externalNames().stream()
                .filter(name -> !containsWord(literalsAndDeployFiles, name) && !containsWord(constants, name))
                .toList();

        assertEquals(List.of(), missing);
    }

    @Test
    void listContainsNoDuplicates() throws IOException {
        List<String> names = externalNames();
        assertFalse(names.isEmpty());
        assertEquals(names.stream().distinct().toList(), names);
    }

    private static List<String> externalNames() throws IOException {
        return Files.readAllLines(LIST).stream()
                .map(String::strip)
                .filter(line -> !line.isEmpty() && !line.startsWith("#"))
                .toList();
    }

    private static List<String> sources() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .map(OuterNamesTest::read)
                    .toList();
        }
    }

    private static String deployFiles() {
        return DEPLOY_FILES.stream().map(OuterNamesTest::read).collect(Collectors.joining("\n"));
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String literals(String source) {
        return TOKEN.matcher(source)
                .results()
                .map(match -> match.group())
                .filter(token -> token.startsWith("\""))
                .collect(Collectors.joining("\n"));
    }

    private static String enumConstants(String source) {
        return ENUM_CONSTANTS
                .matcher(source)
                .results()
                .map(match -> match.group(1).replaceAll("(?s)/\\*.*?\\*/", ""))
                .collect(Collectors.joining("\n"));
    }

    private static boolean containsWord(String text, String name) {
        return Pattern.compile("(?<![A-Za-z0-9_-])" + Pattern.quote(name) + "(?![A-Za-z0-9_-])")
                .matcher(text)
                .find();
    }
}
