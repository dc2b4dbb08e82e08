package crankwick.simulator;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** Hosts routers for the simulator, which communicates over standard input and standard output. */
public final class SimulatorCommand {
    private static final int EXIT_MALFORMED_INPUT = 2;

    private SimulatorCommand() {}

    /** Returns at the end of input; exits with status 2 on malformed input. */
    public static void run() throws IOException {
        try {
            new SimulatorAdapter(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out))
                    .run();
        } catch (WireException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_MALFORMED_INPUT);
        }
    }
}
