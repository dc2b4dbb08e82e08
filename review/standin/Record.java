import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** The record of a run, written line by line with the time since its start. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), "UTF-8");
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String text) {
        String line = String.format("%8d ms  %s", millis(), text);
        out.println(line);
        out.flush();
        System.out.println(line);
    }
}
