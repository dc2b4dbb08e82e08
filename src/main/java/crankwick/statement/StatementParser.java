package crankwick.statement;

/** Finds the leading comment of a statement, and builds the statement from the comment's hints. */
final class StatementParser {
    private static final String COMMENT_START = "/*";
    private static final String COMMENT_END = "*/";

    /** Limits the time that the hints take; those in use have a few hundred characters. */
    private static final int MAX_COMMENT_CHARS = 8 * 1_024;

    private final String text;

    StatementParser(String text) {
        this.text = text;
    }

    /**
     * Parses the statement; throws IllegalArgumentException with the missing or invalid hint, or if there is no leading
     * comment.
     */
    Statement parse() {
        int open = text.indexOf(COMMENT_START);
        int start = open + COMMENT_START.length();
        int end = text.indexOf(COMMENT_END, start);
        require(open >= 0 && text.substring(0, open).isBlank() && end > 0, "no leading comment");
        require(end - start <= MAX_COMMENT_CHARS, "the leading comment is too long");
        char[] comment = new char[end - start];
        text.getChars(start, end, comment, 0);
        HintReader hints = new HintReader(comment);
        require(hints.requestId() != null, "id is missing");
        require(hints.requestClassName() != null, "c is missing");
        require(hints.timeoutMillis() > 0, "d is missing");
        require(hints.groupId() >= 0, "cluster is missing");
        return new Statement(
                hints.requestId(),
                hints.requestClassName(),
                hints.timeoutMillis(),
                hints.idempotencyKey(),
                hints.groupId(),
                hints.requiredPositionMillis(),
                firstLiteral(end),
                text,
                start + hints.timeoutStart(),
                start + hints.timeoutEnd());
    }

    private String firstLiteral(int from) {
        int open = text.indexOf('\'', from);
        int close = open < 0 ? -1 : text.indexOf('\'', open + 1);
        return close < 0 ? null : text.substring(open + 1, close);
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
