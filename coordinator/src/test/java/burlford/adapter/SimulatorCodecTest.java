package burlford.adapter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlford.policy.Aggregator;
import burlford.settings.InputFormatException;
import burlford.settings.SettingsParser;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/**
 * Compares the codec's frames byte by byte with what the simulator sends and expects, and checks that malformed frames
 * and settings are rejected with a message that names the fault.
 */
class SimulatorCodecTest {

    private static byte[] hex(String... parts) {
        return HexFormat.of().parseHex(String.join("", parts).replace(" ", ""));
    }

    private static String zeros(int bytes) {
        return "00".repeat(bytes);
    }

    private static byte[] frame(int records, byte[] body) {
        return ByteBuffer.allocate(20 + body.length).order(ByteOrder.LITTLE_ENDIAN).putInt(body.length)
                .putLong(7_000_000).putInt(records).putInt(3).put(body).array();
    }

    private static SimulatorCodec.Batch readBatch(int records, byte[] body) throws IOException {
        return new SimulatorCodec().read(new ByteArrayInputStream(frame(records, body)));
    }

    private static String rejection(byte[] input) {
        return assertThrows(InputFormatException.class, () -> new SimulatorCodec()
                .read(new ByteArrayInputStream(input))).getMessage();
    }

    /** A record that selects instance 2 for the records that follow. */
    private static final String SELECT_2 = "0b0200" + zeros(37);

    @Test
    void readsQueryPartAndEndOfAttempt() throws IOException {
        SimulatorCodec.Batch batch = readBatch(4, hex(SELECT_2,
                "02 05000000 00004040 40420f00 01 00000000 02 000080bf 00001041 0900000000000000 0300", zeros(3),
                "02 06000000 0000003f 40420f00 01 10270000 01 00000040 00001041 0800000000000000 0300", zeros(3),
                "04 06000000 01 010203049005 6f00 10270000 01 01 0000a040", zeros(12), zeros(4)));
        assertEquals(7_000_000, batch.clock());
        assertEquals(3, batch.number());
        assertEquals(new Aggregator.QueryArrived(5, 9, 1, 3, 1_000_000, 0, true, 9, 3),
                ((SimulatorCodec.InstanceEvent) batch.records().get(0)).event());
        assertEquals(new Aggregator.PartArrived(6, 9, 2, 0.5, 10_000, 8),
                ((SimulatorCodec.InstanceEvent) batch.records().get(1)).event());
        Aggregator.AttemptEnded end = (Aggregator.AttemptEnded) ((SimulatorCodec.InstanceEvent) batch.records().get(2))
                .event();
        assertEquals(Aggregator.Outcome.NO_CONNECTION, end.outcome());
        assertEquals(0x0590_0403_0201L, end.replica());
        assertEquals(1, end.attempt());
        assertArrayEquals(new double[] {5}, end.loadReport());
    }

    @Test
    void readsListUpdateThroughItsTable() throws IOException {
        SimulatorCodec.Batch batch = readBatch(3, hex(SELECT_2, "0a 02000000 00000000 01000000", zeros(27),
                "01 05000000 02000000 01", zeros(30), "010203049005 01 0000 0400 02 0000803f 40420f0000000000"));
        Aggregator.ListUpdate update =
                (Aggregator.ListUpdate) ((SimulatorCodec.InstanceEvent) batch.records().get(0)).event();
        assertEquals(Aggregator.ListKind.WHOLE, update.kind());
        assertEquals(new Aggregator.ListEntry(0x0590_0403_0201L, 1, 4, Aggregator.Status.DRAINING, 1, 1_000_000),
                update.entries().get(0));
    }

    @Test
    void writesEveryAction() throws IOException {
        SimulatorCodec.Reply reply = new SimulatorCodec.Reply();
        reply.addInstance(3);
        reply.addAction(new Aggregator.Send(5, 0x0590_0403_0201L, 80_000));
        reply.addAction(new Aggregator.Refuse(5, 250_000, Aggregator.Reason.EXPECTED_LATE));
        reply.addAction(new Aggregator.Fail(5, Aggregator.Reason.TIME_OVER));
        reply.addAction(new Aggregator.Cancel(5, 2));
        reply.addAction(new Aggregator.SetAlarm(77, 108_320));
        reply.addAction(new Aggregator.Probe(0x0590_0403_0201L));
        reply.addAction(new Aggregator.WatchList());
        reply.addAction(new Aggregator.Answer(5, true));
        reply.addFailure("no");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        reply.write(out, 12);
        assertEquals(HexFormat.of().formatHex(hex("a2000000 0a000000 0c000000",
                "0d0300" + zeros(13), "00 05000000 010203049005 80380100 00", "01 05000000 90d00300" + zeros(7),
                "02 05000000" + zeros(11), "03 05000000 02" + zeros(10), "04 4d00000000000000 20a70100" + zeros(3),
                "05 010203049005" + zeros(9), "0a 01" + zeros(14), "0c 05000000 01" + zeros(10),
                "09 00000000 02000000" + zeros(7), "6e6f")), HexFormat.of().formatHex(out.toByteArray()));
    }

    @Test
    void endOfInputGivesNoBatch() throws IOException {
        assertNull(new SimulatorCodec().read(new ByteArrayInputStream(new byte[0])));
    }

    @Test
    void malformedFramesAreRejectedWithTheReason() {
        assertTrue(rejection(new byte[7]).contains("truncated batch header"));
        assertTrue(rejection(java.util.Arrays.copyOf(frame(1, hex(SELECT_2)), 40)).contains("truncated batch"));
        assertTrue(rejection(frame(2, hex(SELECT_2))).contains("cannot hold 2 records"));
        byte[] huge = frame(0, new byte[0]);
        huge[3] = (byte) 0xff;
        assertTrue(rejection(huge).contains("oversized"));
        assertTrue(rejection(frame(2, hex(SELECT_2, "63", zeros(39)))).contains("unknown code 99"));
        assertTrue(rejection(frame(1, hex("05", zeros(39)))).contains("names no instance"));
        assertTrue(rejection(frame(1, hex("0a 02000000 00000000 01000000", zeros(27)))).contains("outside the tail"));
        assertTrue(rejection(frame(2, hex(SELECT_2, "01 05000000 02000000 01", zeros(30)))).contains("never came"));
        assertTrue(rejection(frame(2, hex(SELECT_2, "04 06000000 01 010203049005 0700", zeros(26))))
                .contains("outcome 7"));
    }

    private static final String SETTINGS = String.join("\n", "instances=2", "classes.count=1", "classes.0.target=1",
            "classes.0.deadline=2", "classes.0.effect=fragile", "classes.0.points=3", "familyInfo.sets=4",
            "familyInfo.reach=2", "familyInfo.slices=8", "allowed.mostTries=3", "allowed.maxOpen=9", "new.thing=x",
            "feedback.columns=active,zzz");

    @Test
    void settingsParserSkipsUnknownKeysAndNamesMissingOnes() {
        Aggregator.Settings settings = SettingsParser.parse(SETTINGS);
        assertEquals(Aggregator.Effect.UNSAFE, settings.classes().get(0).effect());
        assertEquals(java.util.List.of(Aggregator.ReportField.QUEUE, Aggregator.ReportField.OTHER),
                settings.reportFields());
        assertTrue(assertThrows(InputFormatException.class,
                () -> SettingsParser.parse(SETTINGS.replace("familyInfo.reach=2\n", "")))
                .getMessage().contains("familyInfo.reach is missing"));
        assertTrue(assertThrows(InputFormatException.class, () -> SettingsParser.parse(SETTINGS + "\noops"))
                .getMessage().contains("oops"));
        assertTrue(assertThrows(InputFormatException.class, () -> SettingsParser.parse(SETTINGS.replace("points=3",
                "points=three"))).getMessage().contains("not a number"));
    }

    @Test
    void hostStartsInstancesAndRejectsEventsOfUnknownOnes() throws IOException {
        byte[] text = SETTINGS.getBytes(StandardCharsets.UTF_8);
        ByteBuffer body = ByteBuffer.allocate(80 + text.length).order(ByteOrder.LITTLE_ENDIAN);
        body.put(hex(SELECT_2)).put((byte) 0).putLong(1).putInt(0).putInt(text.length).position(80);
        body.put(text);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorHost().run(new ByteArrayInputStream(frame(2, body.array())), out);
        assertEquals(3, out.toByteArray()[8]);
        assertThrows(InputFormatException.class, () -> new SimulatorHost().run(new ByteArrayInputStream(
                frame(2, hex(SELECT_2, "06", zeros(39)))), new ByteArrayOutputStream()));
    }
}
