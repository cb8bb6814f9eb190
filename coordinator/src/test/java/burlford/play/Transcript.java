package burlford.play;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A recorded exchange, played against the program line by line. Peers: c1, c2 (clients of the platform front),
 * q1 (of the search front), a1 (of the store's), s0, s1, s2 (readers, each alone in its cell and so the holder of that
 * shard) and d (discovery, and e where it moves to).
 *
 * <pre>
 * set POINTER JSON     changes the configuration; {e} in it is e's address
 * operator TEXT        adds a line to the operator's file; {tmp} is a fresh folder, {file:TEXT} a CSV file
 * PEER &gt; BYTES         sends; \r \n \xNN stand for bytes; {len:TEXT} for TEXT behind its length and a blank line,
 *                      {chunk:TEXT} for a chunk of it; {settings} for the settings as the last set left them
 * PEER &lt; BYTES         what must come next; {n} any number, {id} 16 hex digits, {*} any up to the next byte
 * s0 &gt;&gt; L REST         a frame: a letter and the rest
 * s0 &lt;&lt; L REST         the frame that must come next; {last} in what is sent is the last {id} of one
 * PEER connect|accept|also|end|reset|ended   also: takes a further connection and leaves the one before open
 * program TERM|HUP     the signal;  program exit N, program log REGEX, program counts NAME N (at exit)
 * </pre>
 */
final class Transcript implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern ESCAPE = Pattern.compile("\\\\(r|n|x[0-9a-f]{2})");
    private static final Pattern ID = Pattern.compile("[0-9a-f]{16}");
    private static final Pattern FILE = Pattern.compile("\\{file:(.*)}");
    private static final Pattern LENGTH = Pattern.compile("\\{(len|chunk):(.*)}$", Pattern.DOTALL);

    private final Map<String, ScriptedEndpoint> peers = new LinkedHashMap<>();
    private final ObjectNode configuration;
    private final StringBuilder operator = new StringBuilder();
    private CoordinatorProcess program;
    private String lastId = "";

    /** cores: of the operator's file; 1 leaves it as it is. */
    Transcript(int cores) throws IOException {
        if (cores > 1) {
            operator.append("cores: ").append(cores).append('\n');
        }
        try (InputStream in = Transcript.class.getResourceAsStream("/configuration.json")) {
            configuration = (ObjectNode) JSON.readTree(in);
        }
        ArrayNode members = ((ObjectNode) configuration.get("known")).putArray("members");
        for (int i = 0; i < 3; i++) {
            ScriptedEndpoint reader = new ScriptedEndpoint();
            peers.put("s" + i, reader);
            members.addObject().put("id", "s" + i).put("host_port", "127.0.0.1:" + reader.port()).put("cell", i)
                    .put("phase", "Ready").put("up_since_ms", 0);
        }
        peers.put("d", new ScriptedEndpoint());
        peers.put("e", new ScriptedEndpoint());
        configuration.put("discovery", "127.0.0.1:" + peers.get("d").port());
    }

    void play(List<String> lines) throws IOException, InterruptedException {
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            try {
                play(line);
            } catch (AssertionError | IOException e) {
                throw new AssertionError("line " + (i + 1) + ": " + line + "\n" + e.getMessage()
                        + (program == null ? "" : "\nlog:\n" + program.log()), e);
            }
        }
    }

    private void play(String line) throws IOException, InterruptedException {
        String[] words = line.split(" ", 3);
        String rest = words.length > 2 ? words[2] : "";
        if (words[0].equals("set")) {
            set(words[1], JSON.readTree(rest.replace("{e}", "127.0.0.1:" + peers.get("e").port())));
            if (program != null) {
                program.writeConfiguration(configuration);
            }
            return;
        }
        if (words[0].equals("operator")) {
            Matcher file = FILE.matcher(line.substring("operator ".length()).replace("{tmp}", directory()));
            String text = file.find() ? file.replaceFirst(Matcher.quoteReplacement(
                    CoordinatorProcess.temporaryFile(".csv", bytes(file.group(1))).toString())) : file.replaceFirst("");
            operator.append(text).append('\n');
            return;
        }
        if (program == null) {
            program = CoordinatorProcess.serve(configuration, operator.length() == 0 ? null : operator.toString());
        }
        if (words[0].equals("program")) {
            program(words[1], rest);
            return;
        }
        ScriptedEndpoint peer = peer(words[0]);
        switch (words[1]) {
            case ">" -> peer.send(bytes(rest.replace("{settings}", configuration.get("settings").toString())));
            case ">>" -> peer.send(frame(bytes(rest.replace("{last}", lastId))));
            case "<" -> peer.expect(regex(bytes(rest)));
            case "<<" -> {
                Matcher id = ID.matcher(peer.expect(frameRegex(bytes(rest))));
                lastId = id.find() ? id.group() : lastId;
            }
            case "connect" -> { } // a client has connected by now
            case "accept" -> peer.accept();
            case "also" -> peer.acceptAnother();
            case "end" -> peer.closeConnection();
            case "reset" -> peer.resetConnection();
            case "ended" -> peer.expectClose();
            default -> throw new AssertionError("no such step");
        }
    }

    private static String directory() throws IOException {
        return CoordinatorProcess.temporaryFile(".d", "") + ".store";
    }

    private void program(String step, String rest) throws IOException, InterruptedException {
        switch (step) {
            case "TERM" -> program.terminate();
            case "HUP" -> program.signal("HUP");
            case "exit" -> assertThat(program.awaitExit()).isEqualTo(Integer.parseInt(rest));
            case "log" -> program.awaitLog(rest);
            case "counts" -> assertThat(program.out().lines()).contains(rest);
            default -> throw new AssertionError("no such step");
        }
    }

    private void set(String pointer, JsonNode value) {
        JsonPointer at = JsonPointer.compile(pointer);
        ((ObjectNode) configuration.at(at.head())).set(at.last().getMatchingProperty(), value);
    }

    private ScriptedEndpoint peer(String name) throws IOException, InterruptedException {
        if (!peers.containsKey(name)) {
            peers.put(name, new ScriptedEndpoint(program.port(switch (name.charAt(0)) {
                case 'c' -> "platform";
                case 'q' -> "search";
                default -> "store";
            })));
        }
        return peers.get(name);
    }

    private static String bytes(String text) {
        Matcher length = LENGTH.matcher(text);
        if (length.find()) {
            String body = bytes(length.group(2));
            return bytes(text.substring(0, length.start())) + (length.group(1).equals("len")
                    ? body.length() + "\r\n\r\n" + body
                    : Integer.toHexString(body.length()) + "\r\n" + body + "\r\n");
        }
        return ESCAPE.matcher(text).replaceAll(m -> Matcher.quoteReplacement(switch (m.group(1).charAt(0)) {
            case 'r' -> "\r";
            case 'n' -> "\n";
            default -> String.valueOf((char) Integer.parseInt(m.group(1).substring(1), 16));
        }));
    }

    private static String regex(String bytes) {
        return Pattern.quote(bytes).replace("{n}", "\\E\\d+\\Q").replace("{id}", "\\E[0-9a-f]{16}\\Q")
                .replace("{*}", "\\E.*?\\Q");
    }

    /** "D rest" as a frame: a length that covers letter and rest, least byte first. */
    private static String frame(String text) {
        byte[] rest = text.substring(Math.min(2, text.length())).getBytes(StandardCharsets.ISO_8859_1);
        int n = rest.length + 1;
        return "" + (char) (n & 255) + (char) (n >> 8 & 255) + (char) (n >> 16 & 255) + (char) (n >> 24)
                + text.charAt(0) + new String(rest, StandardCharsets.ISO_8859_1);
    }

    /** Where the text leaves a figure open, its length is open too: four bytes, and a match to the letter. */
    private static String frameRegex(String text) {
        if (!text.contains("{")) {
            return Pattern.quote(frame(text));
        }
        return "....".concat(regex(text.charAt(0) + text.substring(Math.min(2, text.length()))));
    }

    @Override
    public void close() throws IOException {
        if (program != null) {
            program.close();
        }
        for (ScriptedEndpoint p : peers.values()) {
            p.close();
        }
    }
}
