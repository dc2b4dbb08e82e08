package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** What the list of databases says is honoured, whatever becomes of it on its way, on both wires. */
public class DrainsIT extends BothWiresFixture {
    @Test(dataProvider = "wires")
    public void drainingReplicaGetsNothingNew(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            ScriptedDatabase draining = d.replicas().get(0);
            client.execute(statement("map-view", 1000, ""));
            d.publishState(draining, "draining");
            Thread.sleep(1_000);
            int before = d.attemptLog.attemptsAt(draining.name).size();
            for (int i = 0; i < 20; i++) {
                assertEquals(client.execute(statement("map-view", 1000, "")).kind(), "SERVED");
            }
            assertEquals(d.attemptLog.attemptsAt(draining.name).size(), before);
            assertNoViolations(d);
        }
    }

    /** Lists are pushed, says the file, and entries can't be read in part: no drain is missed for either. */
    @Test(dataProvider = "wires")
    public void drainsOfPushedAndOfPartlySpoiltListsAreHeard(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire, "\"ask\"", "\"push\"");
                Deployment.Client client = d.client()) {
            ScriptedDatabase draining = lastServing(d, client);
            d.hasMalformedEntries = true;
            d.publishState(draining, "draining");
            for (int i = 0; i < 20; i++) {
                assertEquals(client.execute(statement("map-view", 1000, "")).kind(), "SERVED");
            }
            assertEquals(d.attemptLog.attemptsAt(draining.name).size(), 1);
            assertNoViolations(d);
        }
    }

    /** A connection comes up late, its database begins to drain meanwhile: the write goes to the next. */
    @Test(dataProvider = "wires")
    public void sendThatHasNotBegunIsDecidedAnewWhenItsDatabaseDrains(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire, "connect-timeout-ms = 250.0", "connect-timeout-ms = 9000.0");
                Deployment.Client client = d.client()) {
            ScriptedDatabase old = d.primary();
            old.greetingDelayMs = 3_000;
            client.send(statement("reserve", 9_000, ""));
            while (old.openedConnections.get() == 0) {
                Thread.sleep(5);
            }
            old.mode = "read-only";
            d.replicas().get(0).mode = "read-write";
            d.publishState(old, "draining");
            assertServedBy(client.readAnswer(), "s-b");
            Thread.sleep(2_500);
            assertEquals(d.attemptLog.attemptsAt(old.name), List.of());
            assertNoViolations(d);
        }
    }

    /** The replica that reads go to: what they would do if they did not hear that it drains. */
    private ScriptedDatabase lastServing(Deployment d, Deployment.Client client) throws IOException {
        TestWireClient.Answer answer = client.execute(statement("map-view", 1000, ""));
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
            long latest = d.silenceWatch(2_000) + TimeUnit.MILLISECONDS.toNanos(2_000 + 50);
            for (ScriptedDatabase replica : d.replicas()) {
                d.publishState(replica, "draining");
            }
            while (System.nanoTime() < latest + TimeUnit.SECONDS.toNanos(1)) {
                assertEquals(client.execute(statement("map-view", 1000, "")).kind(), "SERVED");
                Thread.sleep(20);
            }
            List<ScriptedDatabase.Attempt> after = d.attemptLog.attempts.stream()
                    .filter(seen -> seen.receivedAt() > latest)
                    .toList();
            assertTrue(
                    !after.isEmpty() && after.stream().allMatch(s -> s.server().equals("s-a")), after.toString());
            assertNoViolations(d);
        }
    }

    /** Guards against SIGHUP ending the program, and against a list that is no longer heard after it. */
    @Test(dataProvider = "wires")
    public void reloadMovesTheWatchAndSurvivesAnUnreadableFile(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            d.reload("{ \"discovery\": ");
            assertServedBy(client.execute(statement("reserve", 3000, "")), "s-a");
            d.moveDiscovery().close();
            d.publishState(d.replicas().get(0), "draining");
            for (int i = 0; i < 20; i++) {
                assertServedBy(client.execute(statement("map-view", 1000, "")), "s-c");
            }
            d.moveDiscovery().close();
            d.publishState(d.replicas().get(0), "up");
            d.publishState(d.replicas().get(1), "draining");
            assertServedBy(client.execute(statement("map-view", 1000, "")), "s-b");
            assertNoViolations(d);
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
            assertEquals(first.execute(statement("reserve", 3000, "")).value(), "s-a:" + lastId());
            old.delayMs = 2_000;
            first.send(statement("reserve", 10_000, ""));
            String inFlight = lastId();
            Thread.sleep(300);
            old.mode = "read-only";
            d.databases.get(1).mode = "read-write";
            d.publishState(old, "draining");
            assertEquals(d.attemptLog.countAttempts(inFlight), 1);
            assertEquals(first.readAnswer().value(), "s-a:" + inFlight);
            int before = d.attemptLog.attemptsAt(old.name).size();
            for (int i = 0; i < 5; i++) {
                assertEquals(later.execute(statement("reserve", 3000, "")).value(), "s-b:" + lastId());
            }
            assertEquals(d.attemptLog.attemptsAt(old.name).size(), before);
            assertEquals(d.attemptLog.countAttempts(inFlight), 1);
            assertNoViolations(d);
        }
    }

    /** Discovery moves while its last answer is on its way: it was told, though the new one is silent. */
    @Test
    public void answerOnItsWayWhenTheWatchMovesIsHeard() throws Exception {
        try (Deployment d = new Deployment(new PgTestClient());
                Deployment.Client client = d.client()) {
            d.discovery.midResponsePauseMs = 3_000;
            d.publishStates(Map.of("s-b", "draining", "s-c", "draining"));
            ScriptedDiscovery old = d.moveDiscovery(query -> {
                Thread.sleep(60_000);
                return "";
            });
            Thread.sleep(2_000);
            for (int i = 0; i < 20; i++) {
                assertServedBy(client.execute(statement("map-view", 1000, "")), "s-a");
            }
            old.close();
            assertNoViolations(d);
        }
    }

    /** Answers of all forms are read; what is no list is asked for again, and undoes nothing told. */
    @Test
    public void answersOfAllFormsAreReadOrAskedForAgain() throws Exception {
        try (Deployment d = new Deployment(new PgTestClient());
                Deployment.Client client = d.client()) {
            ScriptedDatabase before = d.primary();
            for (ScriptedDiscovery.ResponseForm form : ScriptedDiscovery.ResponseForm.values()) {
                ScriptedDatabase draining = d.replicas().get(form.ordinal() % 2);
                d.discovery.responseForm = form;
                d.drainOnly(draining);
                if (!form.isComplete()) {
                    assertNoneAt(before, d, client, form);
                    d.discovery.responseForm = ScriptedDiscovery.ResponseForm.CONTENT_LENGTH;
                    Thread.sleep(1_000);
                }
                assertNoneAt(draining, d, client, form);
                before = draining;
            }
            assertNoViolations(d);
        }
    }

    private void assertNoneAt(ScriptedDatabase draining, Deployment d, Deployment.Client client, Object when)
            throws IOException {
        int before = d.attemptLog.attemptsAt(draining.name).size();
        for (int i = 0; i < 20; i++) {
            assertEquals(client.execute(statement("map-view", 1000, "")).kind(), "SERVED", when + " " + d.log);
        }
        assertEquals(d.attemptLog.attemptsAt(draining.name).size(), before, when + " " + d.log);
    }
}
