import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Clients whose text cannot be read as UTF-8: are readers sent a text that no client sent? */
final class ChangedText {

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments[0], ChangedText::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        List<String> texts = Collections.synchronizedList(new ArrayList<>());
        Map<Rig.Reader, Integer> readers = new LinkedHashMap<>();
        for (int cell = 0; cell < 3; cell++) {
            readers.put(new Rig.Reader(rig, "reader-" + cell, part -> {
                rig.note("part " + part.id + " at " + part.reader.name + " with the text " + escaped(part.text));
                texts.add(part.id + " " + part.text);
                part.answerWhole();
            }), cell);
        }
        int[] ports = Rig.freePorts(2);
        String operator = "inventory: " + rig.inventory(readers) + "\nsearch:\n  listen: 127.0.0.1:" + ports[1]
                + "\n  indices:\n    cars: {class: car-lookup, tenant: duna-cab, shards: [0, 1, 2], deadline_ms: 3000}\n";
        Rig.Coordinator c = rig.new Coordinator("n0", ports[0], rig.exampleConfiguration(), operator);
        c.start();
        c.awaitHealthy(20);
        boolean held = true;
        // Two different places, as consoles that speak Latin-2 write them; without the trouble they write UTF-8.
        Charset charset = trouble ? Charset.forName("ISO-8859-2") : StandardCharsets.UTF_8;
        String[] places = {"\u0150rs vez\u00e9r tere", "\u0170rs vez\u00e9r tere"};
        for (int i = 0; i < places.length; i++) {
            String id = "console-" + i;
            byte[] body = body(places[i].getBytes(charset));
            Rig.Http h = post(c.port, id, body);
            rig.note("request " + id + " with the bytes " + hex(places[i].getBytes(charset)) + ": " + h.status + " "
                    + h.body.trim());
            held &= isFair(rig, id, places[i], trouble, h.status == 200, texts);
        }
        String escape = trouble ? "\\ud800" : "\\u0150";
        Rig.Http h = post(c.port, "escape", body(("gate " + escape).getBytes(StandardCharsets.US_ASCII)));
        rig.note("request escape with gate " + escape + ": " + h.status + " " + h.body.trim());
        held &= isFair(rig, "escape", "gate \u0150", trouble, h.status == 200, texts);
        String q = trouble ? "%d5rs" : "%c5%90rs";
        int before = texts.size();
        Rig.Http s = Rig.Http.call(ports[1], "GET /cars/_search?q=" + q + " HTTP/1.1", "", 4000);
        rig.note("search q=" + q + ": " + s.status + " " + s.body.trim());
        if (trouble && (s.status == 200 || texts.size() > before)) {
            rig.note("the search was served with a text that nobody sent");
            held = false;
        } else if (!trouble && (s.status != 200 || !texts.get(texts.size() - 1).endsWith(" \u0150rs"))) {
            throw new Rig.CannotRun("a sound search was not served");
        }
        return held;
    }

    /** A request that can be read is served with its own text; one that cannot is told an error and sends nothing. */
    private static boolean isFair(Rig rig, String id, String text, boolean trouble, boolean served,
            List<String> texts) {
        List<String> sent = texts.stream().filter(t -> t.startsWith(id + ".")).toList();
        if (!trouble) {
            if (!served || !sent.stream().allMatch(t -> t.endsWith(" " + text))) {
                throw new Rig.CannotRun("a sound request was not served: " + id);
            }
            return true;
        }
        if (!sent.isEmpty()) {
            rig.note(id + ": " + sent.size() + " parts were sent with a text that no client sent");
        }
        if (served) {
            rig.note(id + ": served as if the request had run");
        }
        return sent.isEmpty() && !served;
    }

    private static byte[] body(byte[] text) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.write("{\"parts\":[{\"id\":0},{\"id\":2}],\"expr\":\"".getBytes(StandardCharsets.US_ASCII));
        body.write(text);
        body.write("\"}".getBytes(StandardCharsets.US_ASCII));
        return body.toByteArray();
    }

    static Rig.Http post(int port, String id, byte[] body) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5000);
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(("POST /api/7f3a HTTP/1.1\r\nHost: app\r\nReq-Id: " + id + "\r\nReq-Kind: car-lookup\r\n"
                    + "Req-Owner: duna-cab\r\nReq-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: "
                    + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            request.write(body);
            socket.getOutputStream().write(request.toByteArray());
            socket.getOutputStream().flush();
            return Rig.Http.read(socket.getInputStream());
        }
    }

    private static String hex(byte[] bytes) {
        StringBuilder hex = new StringBuilder();
        for (byte b : bytes) {
            hex.append(String.format("%02x", b));
        }
        return hex.toString();
    }

    private static String escaped(String text) {
        StringBuilder escaped = new StringBuilder();
        text.chars().forEach(ch -> escaped.append(ch < 0x7f ? String.valueOf((char) ch)
                : String.format("\\u%04x", ch)));
        return escaped.toString();
    }
}
