package crankwick.app;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code serve}: one real proxy. */
@Command(
        name = "serve",
        description = "Serves as one proxy: the platform's front where ROUTER_CONFIG "
                + "names a configuration, the TDS front where an operator's file is given.",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class)
final class ServeCommand implements Callable<Integer> {
    @Parameters(arity = "0..1", paramLabel = "OPERATOR.toml", description = "The operator's file.")
    private Path operatorFile;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Main.serve(operatorFile);
        return 0;
    }
}
