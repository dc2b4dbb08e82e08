package crankwick.discovery;

import crankwick.RouterApi.ListKind;
import crankwick.RouterApi.Member;
import java.net.InetSocketAddress;
import java.util.List;

/** Where the list of databases comes from: {@link News} on the loop, from the start to the end. */
public interface Discovery {
    /** Begins to watch; whatever fails then is asked for again, without being told to. */
    void start();

    /** Reads its configuration again and goes on where that says; an unreadable one changes nothing. */
    void reload();

    /** Stops asking. */
    void close();

    /** A database as the list names it; {@code address} is the one that this proxy reaches it at. */
    record Host(Member member, InetSocketAddress address) {}

    /** What has been heard: changes, or a whole list. */
    record News(ListKind kind, List<Host> hosts) {
        /** The list without the addresses. */
        public List<Member> members() {
            return hosts.stream().map(Host::member).toList();
        }
    }
}
