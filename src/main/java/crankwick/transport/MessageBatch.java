package crankwick.transport;

import java.util.List;

/** Messages that are encoded one behind the other and written at once. */
public record MessageBatch(List<?> messages) {}
