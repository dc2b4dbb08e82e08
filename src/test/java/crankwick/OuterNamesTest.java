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
 * Holds the names that other programs know (config/outer-names.txt). A rename in the code that also changes one on the
 * wire, in a setting or in the log breaks those programs without breaking any other test.
 */
class OuterNamesTest {
    private static final Path LIST = Path.of("config/outer-names.txt");
    private static final Path SOURCES = Path.of("src/main/java");
    private static final List<Path> DEPLOY_FILES = List.of(Path.of("deploy/balancer.toml"), Path.of("deploy/tds.toml"));

    /** Comments and character literals are matched so that quotes in them do not count. */
    private static final Pattern TOKEN = Pattern.compile(
            "//[^\n]*|/\\*.*?\\*/|\"\"\".*?\"\"\"|\"(?:\\\\.|[^\"\\\\\n])*\"|'(?:\\\\.|[^'\\\\])'", Pattern.DOTALL);

    /** The constants of an enum that is declared as ENUM { A, B(..), C { .. }. */
    private static final Pattern ENUM_CONSTANTS =
            Pattern.compile("\\benum \\w+[^{]*\\{((?:/\\*.*?\\*/|[^;}])*)", Pattern.DOTALL);

    @Test
    void namesThatLeaveTheProcessAreStillWrittenOut() throws IOException {
        List<String> sources = sources();
        String writtenOut =
                sources.stream().map(OuterNamesTest::literals).collect(Collectors.joining("\n")) + "\n" + deployFiles();
        String constants = sources.stream().map(OuterNamesTest::enumConstants).collect(Collectors.joining("\n"));

        List<String> lost = outerNames().stream()
                .filter(name -> !containsWord(writtenOut, name) && !containsWord(constants, name))
                .toList();

        assertEquals(List.of(), lost);
    }

    @Test
    void theListNamesEachNameOnce() throws IOException {
        List<String> names = outerNames();
        assertFalse(names.isEmpty());
        assertEquals(names.stream().distinct().toList(), names);
    }

    private static List<String> outerNames() throws IOException {
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
