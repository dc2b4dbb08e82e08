package crankwick.client;

/**
 * The budgets for the memory that the connections of a listener occupy together.
 *
 * @param statements commands whose replies are not written yet, with their statements
 * @param replies the values of replies that are not written yet
 * @param unwritten replies that are handed to the transport and not written yet
 */
record ClientBudgets(ByteBudget statements, ByteBudget replies, ByteBudget unwritten) {
    private static final long MAX_STATEMENT_BYTES = Runtime.getRuntime().maxMemory() / 6;
    private static final long MAX_REPLY_BYTES = Runtime.getRuntime().maxMemory() / 4;
    private static final long MAX_UNWRITTEN_BYTES = Runtime.getRuntime().maxMemory() / 8;

    ClientBudgets() {
        this(new ByteBudget(MAX_STATEMENT_BYTES), new ByteBudget(MAX_REPLY_BYTES), new ByteBudget(MAX_UNWRITTEN_BYTES));
    }
}
