package crankwick.runtime;

import crankwick.client.ClientCommand;
import crankwick.database.CommandSource;
import crankwick.statement.Statement;

/** Adapts a client's command to the {@link CommandSource} from which the pool sends a database attempt. */
final class ForwardedCommand implements CommandSource {
    private final ClientCommand command;

    ForwardedCommand(ClientCommand command) {
        this.command = command;
    }

    @Override
    public Statement statement() {
        return command.statement();
    }

    @Override
    public long readAt() {
        return command.readAt();
    }

    @Override
    public boolean hasLongUnreadInput() {
        return command.hasLongUnreadInput();
    }

    @Override
    public boolean isAbandoned() {
        return command.isAbandoned();
    }
}
