import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Clients whose length is wrong, so that their body holds more than one object: are they told an error? */
final class TrailingBytes {

    private static final String GOOD = "{\"parts\":[{\"id\":0},{\"id\":2}],\"expr\":\"free cars\"}";

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments[0], TrailingBytes::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        Set<String> sent = Collections.synchronizedSet(new HashSet<>());
        Map<Rig.Reader, Integer> readers = new LinkedHashMap<>();
        for (int cell = 0; cell < 3; cell++) {
            readers.put(new Rig.Reader(rig, "reader-" + cell, part -> {
                rig.note("part " + part.id + " at " + part.reader.name);
                sent.add(part.id.substring(0, part.id.lastIndexOf('.')));
                part.answerWhole();
            }), cell);
        }
        int[] ports = Rig.freePorts(1);
        Rig.Coordinator c = rig.new Coordinator("n0", ports[0], rig.exampleConfiguration(),
                "inventory: " + rig.inventory(readers) + "\n");
        c.start();
        c.awaitHealthy(20);
        String[] behind = {
            // The length counts the client's next request in.
            "POST /api/7f3a HTTP/1.1\r\nReq-Id: next\r\n\r\n",
            // Two bodies under one head.
            "{\"parts\":[{\"id\":1}],\"expr\":\"busy cars\"}",
            // The rest of a longer body that stood in the client's buffer before.
            "}],\"expr\":\"old text\"}"};
        boolean held = true;
        for (int i = 0; i < behind.length; i++) {
            held &= ask(rig, c, "r" + i, GOOD + (trouble ? behind[i] : ""), trouble, sent);
        }
        return held;
    }

    private static boolean ask(Rig rig, Rig.Coordinator c, String id, String body, boolean trouble, Set<String> sent)
            throws IOException {
        Rig.Http h = ChangedText.post(c.port, id, body.getBytes(StandardCharsets.UTF_8));
        rig.note("request " + id + " with the body " + body.replace("\r\n", "\\r\\n") + ": " + h.status + " "
                + h.body.trim());
        if (!trouble) {
            if (h.status != 200) {
                throw new Rig.CannotRun("a sound request was not served");
            }
            return true;
        }
        if (h.status == 200 || sent.contains(id)) {
            rig.note(id + ": served as if the request had run; its body is not JSON");
            return false;
        }
        return true;
    }
}
