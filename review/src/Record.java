import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what happens, with the time since the start in milliseconds. */
final class Record {
    private final long startMs = Store.now();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String text) {
        String line = (Store.now() - startMs) + " ms " + text;
        out.println(line);
    }

    /** Writes a line also to standard output. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }

    static void trouble(String text) {
        System.err.println(text);
    }
}
