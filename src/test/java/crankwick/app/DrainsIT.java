package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Drains in the endpoint list take effect despite faults in its delivery, on both protocols. */
public class DrainsIT extends BothWiresFixture {
    @Test(dataProvider = "wires")
    public void drainingReplicaGetsNoNewRequests(TestWireClient wire) throws Exception {
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

    /** Endpoint lists configured as pushed, with partly invalid entries: the drain takes effect. */
    @Test(dataProvider = "wires")
    public void drainsInPushedOrPartlyInvalidListsTakeEffect(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire, "\"ask\"", "\"push\"");
                Deployment.Client client = d.client()) {
            ScriptedDatabase draining = replicaServingReads(d, client);
            d.hasMalformedEntries = true;
            d.publishState(draining, "draining");
            for (int i = 0; i < 20; i++) {
                assertEquals(client.execute(statement("map-view", 1000, "")).kind(), "SERVED");
            }
            assertEquals(d.attemptLog.attemptsAt(draining.name).size(), 1);
            assertNoViolations(d);
        }
    }

    /** A database begins to drain while its connection is being established: the write goes to the new primary. */
    @Test(dataProvider = "wires")
    public void unsentAttemptIsReroutedWhenItsDatabaseDrains(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire, "connect-timeout-ms = 250.0", "connect-timeout-ms = 9000.0");
                Deployment.Client client = d.client()) {
            ScriptedDatabase old = d.primary();
            old.greetingDelayMillis = 3_000;
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

    /** The replica that serves reads now, and would continue to serve them if its drain had no effect. */
    private ScriptedDatabase replicaServingReads(Deployment d, Deployment.Client client) throws IOException {
        TestWireClient.Answer answer = client.execute(statement("map-view", 1000, ""));
        return d.replicas().stream()
                .filter(r -> answer.value().startsWith(r.name))
                .findAny()
                .orElseThrow();
    }

    /**
     * The open watch stops responding, databases begin to drain, and discovery is so loaded that it delays the
     * replacement watch by 2 s.
     */
    @Test
    public void drainMissedByASilentWatchTakesEffectInTime() throws Exception {
        try (Deployment d = new Deployment(new PgTestClient());
                Deployment.Client client = d.client()) {
            long honorBy = d.silenceWatch(2_000) + TimeUnit.MILLISECONDS.toNanos(2_000 + 50);
            for (ScriptedDatabase replica : d.replicas()) {
                d.publishState(replica, "draining");
            }
            while (System.nanoTime() < honorBy + TimeUnit.SECONDS.toNanos(1)) {
                assertEquals(client.execute(statement("map-view", 1000, "")).kind(), "SERVED");
                Thread.sleep(20);
            }
            List<ScriptedDatabase.Attempt> after = d.attemptLog.attempts.stream()
                    .filter(seen -> seen.receivedAt() > honorBy)
                    .toList();
            assertTrue(
                    !after.isEmpty() && after.stream().allMatch(s -> s.server().equals("s-a")), after.toString());
            assertNoViolations(d);
        }
    }

    /** Guards against SIGHUP terminating the process, and against missing endpoint updates after a reload. */
    @Test(dataProvider = "wires")
    public void reloadChangesTheDiscoveryAddressAndIgnoresAnInvalidFile(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            d.reload("{ \"discovery\": ");
            assertServedBy(client.execute(statement("reserve", 3000, "")), "s-a");
            d.changeDiscoveryAddress().close();
            d.publishState(d.replicas().get(0), "draining");
            for (int i = 0; i < 20; i++) {
                assertServedBy(client.execute(statement("map-view", 1000, "")), "s-c");
            }
            d.changeDiscoveryAddress().close();
            d.publishState(d.replicas().get(0), "up");
            d.publishState(d.replicas().get(1), "draining");
            assertServedBy(client.execute(statement("map-view", 1000, "")), "s-b");
            assertNoViolations(d);
        }
    }

    /**
     * A write is in flight when its primary drains and hands over its role. The only attempt is answered, and later
     * writes go to the new primary only.
     */
    @Test(dataProvider = "wires")
    public void writeInFlightIsAnsweredWhileItsPrimaryDrains(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client first = d.client();
                Deployment.Client later = d.client()) {
            ScriptedDatabase old = d.primary();
            assertEquals(first.execute(statement("reserve", 3000, "")).value(), "s-a:" + lastId());
            old.delayMillis = 2_000;
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

    /**
     * The discovery address changes while a response from the old address is being received. That response is applied,
     * although the new address does not respond.
     */
    @Test
    public void responseInProgressWhenTheDiscoveryAddressChangesIsApplied() throws Exception {
        try (Deployment d = new Deployment(new PgTestClient());
                Deployment.Client client = d.client()) {
            d.discovery.midResponsePauseMillis = 3_000;
            d.publishStates(Map.of("s-b", "draining", "s-c", "draining"));
            ScriptedDiscovery old = d.changeDiscoveryAddress(query -> {
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

    /** Complete responses of each form are applied; after an invalid one the list is kept and requested again. */
    @Test
    public void responsesOfAllFormsAreAppliedOrRequestedAgain() throws Exception {
        try (Deployment d = new Deployment(new PgTestClient());
                Deployment.Client client = d.client()) {
            ScriptedDatabase before = d.primary();
            for (ScriptedDiscovery.ResponseForm form : ScriptedDiscovery.ResponseForm.values()) {
                ScriptedDatabase draining = d.replicas().get(form.ordinal() % 2);
                d.discovery.responseForm = form;
                d.drainOnly(draining);
                if (!form.isComplete()) {
                    assertNoNewAttemptsAt(before, d, client, form);
                    d.discovery.responseForm = ScriptedDiscovery.ResponseForm.CONTENT_LENGTH;
                    Thread.sleep(1_000);
                }
                assertNoNewAttemptsAt(draining, d, client, form);
                before = draining;
            }
            assertNoViolations(d);
        }
    }

    private void assertNoNewAttemptsAt(ScriptedDatabase draining, Deployment d, Deployment.Client client, Object when)
            throws IOException {
        int before = d.attemptLog.attemptsAt(draining.name).size();
        for (int i = 0; i < 20; i++) {
            assertEquals(client.execute(statement("map-view", 1000, "")).kind(), "SERVED", when + " " + d.log);
        }
        assertEquals(d.attemptLog.attemptsAt(draining.name).size(), before, when + " " + d.log);
    }
}
