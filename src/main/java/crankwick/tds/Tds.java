package crankwick.tds;

/** The numbers of TDS 7.4 that are used here, and this program's own error and info numbers. */
final class Tds {
    static final int HEADER = 8;
    static final int PACKET_SIZE = 4096;
    /** A packet's status: the message's last; the message is to be ignored. */
    static final int LAST = 1;

    static final int IGNORE = 2;

    static final int SQL_BATCH = 0x01;
    static final int RESPONSE = 0x04;
    static final int ATTENTION = 0x06;
    static final int LOGIN7 = 0x10;
    static final int PRELOGIN = 0x12;

    static final int COLMETADATA = 0x81;
    static final int ERROR = 0xAA;
    static final int INFO = 0xAB;
    static final int LOGINACK = 0xAD;
    static final int ROW = 0xD1;
    static final int ENVCHANGE = 0xE3;
    static final int DONE = 0xFD;

    static final int DONE_MORE = 0x01;
    static final int DONE_ERROR = 0x02;
    static final int DONE_COUNT = 0x10;
    static final int DONE_ATTENTION = 0x20;

    static final int VARBINARY = 0xA5;
    /** A VARBINARY of this length comes in chunks. */
    static final int MAX = 0xFFFF;
    /** 7.4, as LOGIN7 has it. */
    static final int VERSION = 0x74000004;

    /** An INFO with this number holds {@code name=value}: mode, wal_time, stats or retry_after. */
    static final int FACT = 50010;
    /** The batch that asks a database for its report, as the fact {@code stats}. */
    static final String ASK_REPORT = "EXEC crankwick_report";

    /** What a database says: not the primary; too far behind; turned away; too many connections. */
    static final int READ_ONLY = 3906;

    static final int BEHIND = 50072;
    static final int TURNED_AWAY = 10928;
    static final int TOO_MANY = 17809;
    /** What a front says; refusals are 501xx, failures 502xx, what can't be read is 50300. */
    static final int LOGIN_FAILED = 18456;

    static final int REFUSED_GIVEN_UP = 50101;
    static final int REFUSED_OVER_RATE = 50102;
    static final int REFUSED_OVER_OUTSTANDING = 50103;
    static final int REFUSED_NO_PRIMARY = 50104;
    static final int REFUSED_OVER_KEYS = 50105;
    static final int REFUSED_OVER_OPEN_COMMANDS = 50106;
    static final int FAILED_NO_OUTCOME = 50201;
    static final int FAILED_GIVEN_UP = 50202;
    static final int FAILED_CLASS = 50203;
    static final int FAILED_ID_IN_USE = 50204;
    static final int FAILED_KEY_IN_DOUBT = 50205;
    static final int UNREADABLE = 50300;
    static final int BROKEN = 50400;

    /** PRELOGIN without encryption: options VERSION and ENCRYPTION (not supported). */
    static final byte[] PRELOGIN_BODY = {0, 0, 11, 0, 6, 1, 0, 17, 0, 1, (byte) 0xFF, 16, 0, 0, 0, 0, 0, 2};

    private Tds() {}
}
