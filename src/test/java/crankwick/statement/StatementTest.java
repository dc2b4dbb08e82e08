package crankwick.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The hints of statements' leading comments. */
class StatementTest {
    private static final String REQUIRED = "id=9b1f,c=order,d=480,cluster=2";

    private static Statement parse(String hints) {
        return Statement.parse("/* " + hints + " */ INSERT INTO state VALUES ('7f3a')");
    }

    @Test
    void hintsAreReadWithSpaceAroundNamesAndValues() {
        Statement statement = Statement.parse("  /* id = 9b1f ,c=order,\td= 480, k =5c0f=,cluster=2,after=17672256,"
                + "r=1,,=,noise,dd=5,i=7 */ SELECT val FROM state WHERE uid = '7f3a'");
        assertEquals(statement.requestId(), "9b1f");
        assertEquals(statement.requestClassName(), "order");
        assertEquals(statement.timeoutMillis(), 480);
        assertEquals(statement.idempotencyKey(), "5c0f=");
        assertEquals(statement.groupId(), 2);
        assertEquals(statement.requiredPositionMillis(), 17_672_256);
        assertEquals(statement.sessionId(), "7f3a");
        assertEquals(statement.withTimeout(35).replace("d= 35,", "d= 480,"), statement.text());
    }

    @Test
    void lastOfSeveralHintsOfOneNameCounts() {
        Statement statement = parse("d=7,c=read," + REQUIRED);
        assertEquals(statement.timeoutMillis(), 480);
        assertEquals(statement.requestClassName(), "order");
        assertNull(statement.idempotencyKey());
        assertEquals(statement.requiredPositionMillis(), -1);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "c=order,d=480,cluster=2 | id is missing",
                "id=9b1f,d=480,cluster=2 | c is missing",
                "id=9b1f,c=order,cluster=2 | d is missing",
                "id=9b1f,c=order,d=0,cluster=2 | d is missing",
                "id=9b1f,c=order,d=480 | cluster is missing",
                "id=,c=order,d=480,cluster=2 | id is unusable",
                "id=9b1f,c=order,d=4x,cluster=2 | d is not a number",
                "id=9b1f,c=order,d=-4,cluster=2 | d is out of range",
                "id=9b1f,c=order,d=99999999999999999999,cluster=2 | d is not a number",
                "id=9b1f,c=order,d=480,cluster=2147483648 | cluster is out of range",
                "id=9b1f,c=order,d=480,cluster=2,after=9223372036854775807 | after is out of range"
            })
    void invalidHintIsNamed(String hints, String fault) {
        assertEquals(
                assertThrows(IllegalArgumentException.class, () -> parse(hints)).getMessage(), fault);
    }

    /** Guards against comments whose hints occupy the event loop. */
    @Test
    void longCommentIsRefused() {
        assertEquals(parse(REQUIRED + ",a=1".repeat(2_000)).groupId(), 2);
        assertThrows(IllegalArgumentException.class, () -> parse(REQUIRED + ",a=1".repeat(2_100)));
    }
}
