package crankwick.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import crankwick.settings.SettingsCodec;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the simulator adapter, its reply writer and the settings errors on every message of the protocol. */
class SimulatorAdapterTest {
    private static String reply(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void emptyBatchIsAnsweredWithReady() throws IOException {
        assertEquals("ready\n", reply("sync 8412.25\ngo\n"));
    }

    @Test
    void everyMessageIsDecoded() throws IOException {
        String out = reply(WireTranscript.START
                + "sync 5001\ninstance 0\nknock 00000000000000ff - 4 0 1 - 4 5801.5 77\ngo\n"
                + "sync 5020\ninstance 0\noutcome 00000000000000ff 1 16079 Ok 18.5 10.0.0.1:1 0 -\n"
                + "knock 00000000000000aa - 4 0 0 - 0 5801.5 77\ngo\n"
                + "sync 5040\ninstance 0\npong Ok 1.4 10.0.0.2:1 4.5,0,3,0.62\ntimeout_fired 5\n"
                + "established 00000000000000bb 0 10.0.0.1:1 9.25\nexpired 00000000000000bb\n"
                + "membership unavailable 1 0\ngo\n"
                + "sync 5050\ninstance 0\ncrash_now\ngo\n");
        assertTrue(out.startsWith("at 0\n"), out);
        assertTrue(out.contains("route 00000000000000ff 10.0.0.1:1 -\n"), out);
        assertTrue(out.contains("ask_load 10.0.0.2:1\n") || out.contains("arm "), out);
        assertEquals(5, out.split("ready\n", -1).length - 1);
    }

    @Test
    void positionsAreRelativeToTheTimeOrigin() throws IOException {
        // The write commits at position 1000.5 + 4019 ms. A replica that reports 4.019 s has replayed it and may serve
        // the read; a replica that reports 4.018 s has not.
        String write = WireTranscript.START + "sync 5001\ninstance 0\n"
                + "knock 00000000000000ff - 4 0 1 - 4 5801.5 77\ngo\nsync 5020\ninstance 0\n"
                + "outcome 00000000000000ff 1 16077 Ok 18.5 10.0.0.1:1 0 -\ngo\n"
                + "sync 5045\ninstance 0\ntimeout_fired 5\ngo\n";
        String read = "knock 00000000000000aa - 4 0 0 - 0 6801.5 77\ngo\n";
        String caughtUp = reply(write + "sync 5046\ninstance 0\npong Ok 1 10.0.0.2:1 4.019,0,0,0\n" + read);
        String lagging = reply(write + "sync 5046\ninstance 0\npong Ok 1 10.0.0.2:1 4.018,0,0,0\n" + read);
        assertTrue(caughtUp.contains("route 00000000000000aa 10.0.0.2:1"), caughtUp);
        assertTrue(!lagging.contains("route 00000000000000aa"), lagging);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "go\n",
                "sync x\ngo\n",
                "sync 1\nnonsense\ngo\n",
                "sync 1\n",
                "sync 1\ngo",
                "sync 1\ninstance 0\nknock zz - 4 0 1 - 4 1 7\ngo\n",
                "sync 1\ninstance 0\noutcome 00\ngo\n",
                "sync 1\ndefine_list 0 1\nsomething\ngo\n",
                "sync 1\nmembership update 1 9\ngo\n",
                "sync 1\ninstance 0\nenlist 1 {}\ngo\n",
                "sync 1\npong Fine 1 a:1 -\ngo\n"
            })
    void malformedInputErrorContainsTheLineNumber(String input) {
        WireException e = assertThrows(WireException.class, () -> reply(input));
        assertTrue(e.getMessage().startsWith("line "), e.getMessage());
        assertEquals(1, e.getMessage().lines().count());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "slo-ms",
                "repeat",
                "freshness",
                "max-attempts",
                "start-capacity",
                "counted-from-ms",
                "when-behind"
            })
    void errorNamesTheMissingSetting(String key) {
        String config = WireTranscript.CONFIG.replace("\"" + key + "\"", "\"other\"");
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> new SettingsCodec(config));
        assertTrue(e.getMessage().contains(key), e.getMessage());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "discovery",
                "classes",
                "rules",
                "report",
                "family-info.freshness",
                "family-info.oldest-data-ms",
                "family-info.stamps",
                "bounds.probes",
                "bounds.max-attempts",
                "charges.probe",
                "report.fields",
                "rules.ramp-time-ms"
            })
    void errorNamesTheSettingOfTheWrongType(String path) {
        String[] names = path.split("\\.");
        for (String wrongValue : new String[] {"{\"odd\":1}", "[[1],[1]]"}) {
            JsonObject root = JsonParser.parseString(WireTranscript.CONFIG).getAsJsonObject();
            JsonObject parent = names.length == 1 ? root : root.getAsJsonObject(names[0]);
            parent.add(names[names.length - 1], JsonParser.parseString(wrongValue));
            boolean accepted = path.equals("report") && wrongValue.startsWith("{");
            if (accepted) {
                continue;
            }
            IllegalArgumentException e =
                    assertThrows(IllegalArgumentException.class, () -> new SettingsCodec(root.toString()));
            assertTrue(e.getMessage().startsWith("unusable setting: " + path), e.getMessage());
            assertEquals(1, e.getMessage().lines().count());
        }
    }

    @Test
    void errorNamesTheSettingWithAnUnknownValueOrNegativeTime() {
        for (String[] change : new String[][] {
            {"\"unsafe\"", "\"risky\"", "repeat"},
            {"\"session\"", "\"odd\"", "freshness"},
            {"\"ramp-time-ms\":10000", "\"ramp-time-ms\":-1", "slowStartDuration"}
        }) {
            String config = WireTranscript.CONFIG.replace(change[0], change[1]);
            IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> new SettingsCodec(config));
            assertTrue(e.getMessage().contains(change[2]), e.getMessage());
        }
    }

    @Test
    void actionsAreWrittenInTheWireFormat() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ReplyWriter writer = new ReplyWriter(out);
        writer.selectInstance(3);
        writer.send(0xff3f2b5f5d3a91c4L, "10.0.0.1:1", 80_250);
        writer.reject(1, 250_000);
        writer.fail(1);
        writer.checkHealth("10.0.0.1:1");
        writer.cancelAttempt(1, 2);
        writer.scheduleTimer(500_000, 77);
        writer.watchEndpoints();
        writer.fetchEndpoints();
        writer.log("two servers known");
        writer.flush();
        assertEquals(
                "at 3\nroute ff3f2b5f5d3a91c4 10.0.0.1:1 80.250\ndecline 0000000000000001 250\n"
                        + "report_failure 0000000000000001\nask_load 10.0.0.1:1\ndrop_attempt 0000000000000001 2\n"
                        + "arm 500 77\ntail 1\nget_list\nsay_log two servers known\nready\n",
                out.toString());
    }
}
