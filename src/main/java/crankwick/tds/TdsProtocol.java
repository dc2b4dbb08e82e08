package crankwick.tds;

/** The constants of TDS 7.4 that are used here, and this program's own error and info numbers. */
final class TdsProtocol {
    static final int HEADER_BYTES = 8;
    static final int PACKET_BYTES = 4096;
    /** Bits in the status of a packet. */
    static final int END_OF_MESSAGE = 1;

    static final int IGNORE = 2;

    /** Types of TDS messages. */
    static final int SQL_BATCH = 0x01;

    static final int TABULAR_RESULT = 0x04;
    static final int ATTENTION = 0x06;
    static final int LOGIN7 = 0x10;
    static final int PRELOGIN = 0x12;

    /** Types of the tokens in TDS messages from the server. */
    static final int COLMETADATA = 0x81;

    static final int ERROR = 0xAA;
    static final int INFO = 0xAB;
    static final int LOGINACK = 0xAD;
    static final int ROW = 0xD1;
    static final int ENVCHANGE = 0xE3;
    static final int DONE = 0xFD;

    /** Bits in the status of a DONE token. */
    static final int DONE_MORE = 0x01;

    static final int DONE_ERROR = 0x02;
    static final int DONE_COUNT = 0x10;
    static final int DONE_ATTENTION = 0x20;

    /** The minimum severity of errors that end the connection. */
    static final int FATAL_SEVERITY = 20;

    static final int ERROR_SEVERITY = 16;
    static final int MICROS_PER_MILLI = 1_000;
    /** Masks to read a byte and a short as unsigned. */
    static final int BYTE_MASK = 0xFF;

    static final int SHORT_MASK = 0xFFFF;

    static final int VARBINARY = 0xA5;
    /** As a column's length: varbinary(max), whose values are sent in chunks. As a value's length: NULL. */
    static final int VARBINARY_MAX = 0xFFFF;
    /** TDS 7.4, as encoded in LOGIN7. */
    static final int VERSION = 0x74000004;

    /** An INFO token with this number carries {@code name=value}: mode, wal_time, stats or retry_after. */
    static final int NAME_VALUE_INFO = 50010;
    /** The batch that requests a database's load report, which arrives as {@code stats=...} in an INFO token. */
    static final String REPORT_QUERY = "EXEC crankwick_report";

    /** Error numbers that databases send; the listener also sends {@link #TOO_MANY_CONNECTIONS}. */
    static final int DATABASE_READ_ONLY = 3906;

    static final int REPLICA_BEHIND = 50072;
    static final int RESOURCE_LIMIT_REACHED = 10928;
    static final int TOO_MANY_CONNECTIONS = 17809;
    /**
     * Error numbers that the listener sends: rejections are 501xx, failures 502xx, invalid statements 50300, protocol
     * errors 50400.
     */
    static final int LOGIN_FAILED = 18456;

    static final int REJECTED_GIVEN_UP = 50101;
    static final int REJECTED_OVER_RATE = 50102;
    static final int REJECTED_OVER_OUTSTANDING = 50103;
    static final int REJECTED_NO_PRIMARY = 50104;
    static final int REJECTED_OVER_KEYS = 50105;
    static final int REJECTED_OVER_OPEN_COMMANDS = 50106;
    static final int FAILED_NO_OUTCOME = 50201;
    static final int FAILED_GIVEN_UP = 50202;
    static final int FAILED_CLASS_NOT_ALLOWED = 50203;
    static final int FAILED_ID_IN_USE = 50204;
    static final int FAILED_KEY_IN_DOUBT = 50205;
    static final int INVALID_STATEMENT = 50300;
    static final int PROTOCOL_ERROR = 50400;

    /** PRELOGIN without encryption: options VERSION and ENCRYPTION (not supported). */
    static final byte[] PRELOGIN_BODY = {0, 0, 11, 0, 6, 1, 0, 17, 0, 1, (byte) 0xFF, 16, 0, 0, 0, 0, 0, 2};

    private TdsProtocol() {}
}
