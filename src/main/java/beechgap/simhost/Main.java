package beechgap.simhost;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** Hosts routers on the simulator's wire: standard input to standard output. */
public final class Main {
    private Main() {
    }

    /** Runs {@code simhost}; exits 0 at the end of input, 2 on malformed input. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: beechgap.jar simhost");
            System.exit(2);
        }
        try {
            new Host(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out)).run();
        } catch (WireException e) {
            System.err.println(e.getMessage());
            System.exit(2);
        }
    }
}
