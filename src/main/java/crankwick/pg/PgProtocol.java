package crankwick.pg;

import java.nio.ByteBuffer;

/** The lengths, message types, error fields and SQLSTATE codes of PostgreSQL's protocol that are used here. */
final class PgProtocol {
    static final int VERSION_3 = 3 << 16;
    static final int VERSION_MAJOR_SHIFT = 16;

    /** The size of a message's length field; the length includes these bytes, but not the type byte before them. */
    static final int LENGTH_BYTES = 4;

    static final int HEADER_BYTES = 5;

    static final char QUERY = 'Q';
    static final char TERMINATE = 'X';

    static final char AUTHENTICATION = 'R';
    static final char BACKEND_KEY_DATA = 'K';
    static final char COMMAND_COMPLETE = 'C';
    static final char DATA_ROW = 'D';
    static final char EMPTY_QUERY_RESPONSE = 'I';
    static final char ERROR_RESPONSE = 'E';
    static final char NOTICE_RESPONSE = 'N';
    static final char PARAMETER_STATUS = 'S';
    static final char READY_FOR_QUERY = 'Z';
    static final char ROW_DESCRIPTION = 'T';

    /** The single-byte response to an encryption request: not supported. */
    static final char ENCRYPTION_REJECTED = 'N';

    /** The status in ReadyForQuery outside a transaction. */
    static final char IDLE = 'I';

    static final char FIELD_SEVERITY = 'S';
    static final char FIELD_SEVERITY_NONLOCALIZED = 'V';
    static final char FIELD_SQLSTATE = 'C';
    static final char FIELD_MESSAGE = 'M';
    static final char FIELD_DETAIL = 'D';

    static final String SEVERITY_ERROR = "ERROR";
    static final String SEVERITY_FATAL = "FATAL";
    static final String SEVERITY_PANIC = "PANIC";

    static final int SQLSTATE_LENGTH = 5;
    static final String PROTOCOL_VIOLATION = "08P01";
    static final String READ_ONLY_TRANSACTION = "25006";
    static final String INVALID_AUTHORIZATION = "28000";
    static final String INSUFFICIENT_PRIVILEGE = "42501";
    static final String SYNTAX_ERROR = "42601";
    static final String DUPLICATE_OBJECT = "42710";
    static final String TOO_MANY_CONNECTIONS = "53300";
    static final String CANNOT_CONNECT_NOW = "57P03";
    static final String SYSTEM_ERROR = "58000";
    static final String SNAPSHOT_TOO_OLD = "72000";
    static final String INTERNAL_ERROR = "XX000";

    private PgProtocol() {}

    /** The bytes of the message that begins at the buffer's position; of its header as many as there are. */
    static int messageBytes(ByteBuffer in) {
        return in.remaining() < HEADER_BYTES ? in.remaining() : 1 + in.getInt(in.position() + 1);
    }
}
