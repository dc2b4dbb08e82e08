package crankwick.app;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code serve}: runs one proxy. */
@Command(
        name = "serve",
        description = "Runs one proxy: the platform listener if ROUTER_CONFIG names "
                + "a configuration file, the TDS listener if an operator file is given.",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class)
final class ServeCommand implements Callable<Integer> {
    @Parameters(arity = "0..1", paramLabel = "OPERATOR.toml", description = "The operator's configuration file.")
    private Path operatorFile;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Main.serve(operatorFile);
        return 0;
    }
}
