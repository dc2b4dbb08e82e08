package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** What the list of databases says is honoured, whatever becomes of it on its way, on both wires. */
public class DrainsIT extends OnBothWires {
    @Test(dataProvider = "wires")
    public void drainingReplicaGetsNothingNew(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            ScriptedDatabase draining = d.replicas().get(0);
            client.ask(statement("map-view", 1000, ""));
            d.list(draining, "draining");
            Thread.sleep(1_000);
            int before = d.ledger.at(draining.name).size();
            for (int i = 0; i < 20; i++) {
                assertEquals(client.ask(statement("map-view", 1000, "")).kind(), "SERVED");
            }
            assertEquals(d.ledger.at(draining.name).size(), before);
            kept(d);
        }
    }

    /** Lists are pushed, says the file, and entries can't be read in part: no drain is missed for either. */
    @Test(dataProvider = "wires")
    public void drainsOfPushedAndOfPartlySpoiltListsAreHeard(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire, "\"ask\"", "\"push\"");
                Deployment.Client client = d.client()) {
            ScriptedDatabase draining = lastServing(d, client);
            d.spoilt = true;
            d.list(draining, "draining");
            for (int i = 0; i < 20; i++) {
                assertEquals(client.ask(statement("map-view", 1000, "")).kind(), "SERVED");
            }
            assertEquals(d.ledger.at(draining.name).size(), 1);
            kept(d);
        }
    }

    /** A connection comes up late, its database begins to drain meanwhile: the write goes to the next. */
    @Test(dataProvider = "wires")
    public void sendThatHasNotBegunIsDecidedAnewWhenItsDatabaseDrains(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire, "connect-timeout-ms = 250.0", "connect-timeout-ms = 9000.0");
                Deployment.Client client = d.client()) {
            ScriptedDatabase old = d.primary();
            old.greetMs = 3_000;
            client.send(statement("reserve", 9_000, ""));
            while (old.opened.get() == 0) {
                Thread.sleep(5);
            }
            old.mode = "read-only";
            d.replicas().get(0).mode = "read-write";
            d.list(old, "draining");
            served(client.answer(), "s-b");
            Thread.sleep(2_500);
            assertEquals(d.ledger.at(old.name), List.of());
            kept(d);
        }
    }

    /** The replica that reads go to: what they would do if they did not hear that it drains. */
    private ScriptedDatabase lastServing(Deployment d, Deployment.Client client) throws IOException {
        TestWireClient.Answer answer = client.ask(statement("map-view", 1000, ""));
        return d.replicas().stream()
                .filter(r -> answer.value().startsWith(r.name))
                .findAny()
                .orElseThrow();
    }

    /**
     * The operators' hard case: the open watch falls silent, databases begin to drain, and discovery has so
     * many callers then that the watch opened anew waits 2 s for its turn.
     */
    @Test
    public void drainMissedByASilentWatchIsHonouredInTime() throws Exception {
        try (Deployment d = new Deployment(new PgTestClient());
                Deployment.Client client = d.client()) {
            long latest = d.silence(2_000) + TimeUnit.MILLISECONDS.toNanos(2_000 + 50);
            for (ScriptedDatabase replica : d.replicas()) {
                d.list(replica, "draining");
            }
            while (System.nanoTime() < latest + TimeUnit.SECONDS.toNanos(1)) {
                assertEquals(client.ask(statement("map-view", 1000, "")).kind(), "SERVED");
                Thread.sleep(20);
            }
            List<ScriptedDatabase.Seen> after =
                    d.ledger.seen.stream().filter(seen -> seen.at() > latest).toList();
            assertTrue(
                    !after.isEmpty() && after.stream().allMatch(s -> s.server().equals("s-a")), after.toString());
            kept(d);
        }
    }

    /** Guards against SIGHUP ending the program, and against a list that is no longer heard after it. */
    @Test(dataProvider = "wires")
    public void reloadMovesTheWatchAndSurvivesAnUnreadableFile(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            d.reload("{ \"discovery\": ");
            served(client.ask(statement("reserve", 3000, "")), "s-a");
            d.moveDiscovery().close();
            d.list(d.replicas().get(0), "draining");
            for (int i = 0; i < 20; i++) {
                served(client.ask(statement("map-view", 1000, "")), "s-c");
            }
            d.moveDiscovery().close();
            d.list(d.replicas().get(0), "up");
            d.list(d.replicas().get(1), "draining");
            served(client.ask(statement("map-view", 1000, "")), "s-b");
            kept(d);
        }
    }

    /**
     * The hard case: a reservation is out at its primary when that drains and hands over. It has one answer,
     * from the one attempt that it had, and what comes after goes to the new primary alone.
     */
    @Test(dataProvider = "wires")
    public void reservationInFlightOutlivesItsPrimarysDrain(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client first = d.client();
                Deployment.Client later = d.client()) {
            ScriptedDatabase old = d.primary();
            assertEquals(first.ask(statement("reserve", 3000, "")).value(), "s-a:" + id());
            old.delayMs = 2_000;
            first.send(statement("reserve", 10_000, ""));
            String inFlight = id();
            Thread.sleep(300);
            old.mode = "read-only";
            d.databases.get(1).mode = "read-write";
            d.list(old, "draining");
            assertEquals(d.ledger.sent(inFlight), 1);
            assertEquals(first.answer().value(), "s-a:" + inFlight);
            int before = d.ledger.at(old.name).size();
            for (int i = 0; i < 5; i++) {
                assertEquals(later.ask(statement("reserve", 3000, "")).value(), "s-b:" + id());
            }
            assertEquals(d.ledger.at(old.name).size(), before);
            assertEquals(d.ledger.sent(inFlight), 1);
            kept(d);
        }
    }

    /** Discovery moves while its last answer is on its way: it was told, though the new one is silent. */
    @Test
    public void answerOnItsWayWhenTheWatchMovesIsHeard() throws Exception {
        try (Deployment d = new Deployment(new PgTestClient());
                Deployment.Client client = d.client()) {
            d.discovery.pauseMs = 3_000;
            d.list(Map.of("s-b", "draining", "s-c", "draining"));
            ScriptedDiscovery old = d.moveDiscovery(query -> {
                Thread.sleep(60_000);
                return "";
            });
            Thread.sleep(2_000);
            for (int i = 0; i < 20; i++) {
                served(client.ask(statement("map-view", 1000, "")), "s-a");
            }
            old.close();
            kept(d);
        }
    }

    /** Answers of all forms are read; what is no list is asked for again, and undoes nothing told. */
    @Test
    public void answersOfAllFormsAreReadOrAskedForAgain() throws Exception {
        try (Deployment d = new Deployment(new PgTestClient());
                Deployment.Client client = d.client()) {
            ScriptedDatabase before = d.primary();
            for (ScriptedDiscovery.Form form : ScriptedDiscovery.Form.values()) {
                ScriptedDatabase draining = d.replicas().get(form.ordinal() % 2);
                d.discovery.form = form;
                d.onlyDrains(draining);
                if (!form.isWhole()) {
                    assertNoneAt(before, d, client, form);
                    d.discovery.form = ScriptedDiscovery.Form.WITH_LENGTH;
                    Thread.sleep(1_000);
                }
                assertNoneAt(draining, d, client, form);
                before = draining;
            }
            kept(d);
        }
    }

    private void assertNoneAt(ScriptedDatabase draining, Deployment d, Deployment.Client client, Object when)
            throws IOException {
        int before = d.ledger.at(draining.name).size();
        for (int i = 0; i < 20; i++) {
            assertEquals(client.ask(statement("map-view", 1000, "")).kind(), "SERVED", when + " " + d.log);
        }
        assertEquals(d.ledger.at(draining.name).size(), before, when + " " + d.log);
    }
}
