package crankwick.broker;

import crankwick.RouterApi.ListKind;
import crankwick.RouterApi.Member;
import crankwick.RouterApi.Report;
import crankwick.RouterApi.Result;
import crankwick.RouterApi.Role;
import java.util.List;

/** What the broker is told. */
public sealed interface BrokerEvent {
    /** A caller's request has come in whole. */
    record Taken(Call call) implements BrokerEvent {}

    /** The caller has gone; no answer is owed. */
    record Left(long ref, LeaveCause cause) implements BrokerEvent {}

    /** The last byte of an attempt has been written. */
    record Written(long ref, int attempt) implements BrokerEvent {}

    /** An attempt has ended; {@code value} counts where the result is OK. */
    record Ended(
            long ref, int attempt, Result result, long duration, Role role, long position, Report report, byte[] value)
            implements BrokerEvent {}

    /** A probe has ended. */
    record Probed(String server, Result result, long duration, Report report) implements BrokerEvent {}

    /** News of the list of databases. */
    record Listed(ListKind kind, List<Member> members) implements BrokerEvent {}

    /** A timer that the decision module armed. */
    record RouterDue(long ref) implements BrokerEvent {}

    /** What is held for changes of primaries is to be looked at. */
    record HandoverDue() implements BrokerEvent {}

    /** A request's caller has now waited as long as it will. */
    record DeadlineDue(long ref) implements BrokerEvent {}
}
