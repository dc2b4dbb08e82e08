package crankwick.client;

/** A message that has been read and not processed yet; consecutive commands over the limits share one. */
final class ReceivedMessage {
    final ClientMessage message;
    /** When the message was read, in microseconds of Unix time; the first of them if several share this entry. */
    final long readAt;
    /** How many messages share this entry. */
    private int count = 1;

    ReceivedMessage(ClientMessage message, long readAt) {
        this.message = message;
        this.readAt = readAt;
    }

    int count() {
        return count;
    }

    /** Adds a message to this entry, if both are commands over the limits; otherwise returns false. */
    boolean merge(ClientMessage next) {
        boolean merged = message instanceof ClientMessage.OverLimit && next instanceof ClientMessage.OverLimit;
        count += merged ? 1 : 0;
        return merged;
    }
}
