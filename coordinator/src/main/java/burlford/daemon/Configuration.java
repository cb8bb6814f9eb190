package burlford.daemon;

import burlford.discovery.ReaderListParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one coordinator is told at its start: the JSON file that PROXY_CONFIG names, in which PROXY_NAME,
 * PROXY_LISTEN and PROXY_DISCOVERY go before the file's own words.
 * discovery: null where an inventory takes its place.
 */
public record Configuration(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed,
        int maxSockets, JsonNode settings, ReaderListParser.ReaderList lastKnownReaders) {

    private static final int SOCKETS = 1024;
    /** Settings that differ from one coordinator to the next. */
    private static final List<String> OWN = List.of("position", "zone");

    /** The configuration cannot be used; the message says where and why. */
    public static final class InvalidConfigurationException extends Exception {
        private static final long serialVersionUID = 1L;

        public InvalidConfigurationException(String message) {
            super(message);
        }
    }

    public static Configuration load(Map<String, String> environment) throws InvalidConfigurationException {
        return load(environment, false);
    }

    /** The file anew, while the program runs: now its own discovery goes before PROXY_DISCOVERY. */
    static Configuration reload(Map<String, String> environment) throws InvalidConfigurationException {
        return load(environment, true);
    }

    private static Configuration load(Map<String, String> environment, boolean again)
            throws InvalidConfigurationException {
        String file = environment.get("PROXY_CONFIG");
        if (file == null) {
            throw new InvalidConfigurationException("PROXY_CONFIG names no configuration file");
        }
        JsonNode root;
        try {
            root = new ObjectMapper().readTree(Files.readAllBytes(Path.of(file)));
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationException(file + " line " + (e.getLocation() == null ? 1 : e.getLocation()
                    .getLineNr()) + ": " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new InvalidConfigurationException(file + " cannot be read: " + e);
        }
        if (root == null || !root.isObject()) {
            throw new InvalidConfigurationException(file + " is not a JSON object");
        }
        return read(file, root, environment, again);
    }

    private static Configuration read(String file, JsonNode root, Map<String, String> environment, boolean again)
            throws InvalidConfigurationException {
        ReaderListParser.ReaderList known = null;
        if (root.hasNonNull("known")) {
            try {
                known = ReaderListParser.parse(root.get("known"),
                        root.at("/settings/familyInfo/sets").asInt(Integer.MAX_VALUE));
            } catch (ReaderListParser.MalformedListException e) {
                throw new InvalidConfigurationException(file + " known: " + e.getMessage());
            }
        }
        if (!root.path("settings").isObject()) {
            throw new InvalidConfigurationException(file + " settings is missing");
        }
        String seed = root.path("seed").asText("0");
        long number;
        try {
            number = Long.parseUnsignedLong(seed, 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigurationException(file + " seed is not a hexadecimal number: " + seed);
        }
        String own = root.path("discovery").asText("");
        String discovery = again && !own.isEmpty() ? own : environment.getOrDefault("PROXY_DISCOVERY", own);
        return new Configuration(environment.getOrDefault("PROXY_NAME", root.path("name").asText("burlford")),
                parseAddress(file, "listen", environment.getOrDefault("PROXY_LISTEN", root.path("listen").asText(""))),
                discovery.isEmpty() ? null : parseAddress(file, "discovery", discovery),
                number, root.path("limits").path("sockets").asInt(SOCKETS), root.get("settings"), known);
    }

    /** The settings, flat, as path=value. */
    public Map<String, String> flatSettings() {
        Map<String, String> flat = new TreeMap<>();
        flatten("", settings, flat);
        return flat;
    }

    /** Throws where a text is not one JSON value, with nothing but white space behind it. */
    static void requireSingleValue(String what, String text) throws InvalidConfigurationException {
        try {
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).readTree(text);
        } catch (JsonProcessingException e) {
            throw malformed(what, e);
        }
    }

    private static InvalidConfigurationException malformed(String what, JsonProcessingException e) {
        return new InvalidConfigurationException(what + " line " + e.getLocation().getLineNr() + ": "
                + e.getOriginalMessage());
    }

    /** The same coordinator under other settings; what is its own among them stays. */
    Configuration with(String what, String other) throws InvalidConfigurationException {
        JsonNode node;
        try {
            node = new ObjectMapper().readTree(other);
        } catch (JsonProcessingException e) {
            throw malformed(what, e);
        }
        if (!(node instanceof ObjectNode object)) {
            throw new InvalidConfigurationException(what + " is not a JSON object");
        }
        for (String own : OWN) {
            if (settings.has(own)) {
                object.set(own, settings.get(own));
            }
        }
        return new Configuration(name, listen, discovery, seed, maxSockets, object, lastKnownReaders);
    }

    /** What of a file read anew can be in force without a start. */
    Configuration with(Configuration anew) {
        return new Configuration(name, listen, anew.discovery == null ? discovery : anew.discovery, seed,
                anew.maxSockets, anew.settings, lastKnownReaders);
    }

    static InetSocketAddress parseAddress(String file, String key, String text) throws InvalidConfigurationException {
        int colon = text.lastIndexOf(':');
        try {
            if (colon > 0 && isAddress(text.substring(0, colon))) {
                return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            // told below
        }
        throw new InvalidConfigurationException(file + " " + key + " is not host:port: " + text);
    }

    /** Names are not looked up: there is no one to ask. */
    private static boolean isAddress(String host) {
        return NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host);
    }

    /** Nested JSON as the simulator's path=value: scalars of a list joined by commas, objects by number. */
    static void flatten(String path, JsonNode node, Map<String, String> into) {
        if (node.isObject()) {
            node.properties().forEach(e -> flatten(path.isEmpty() ? e.getKey() : path + "." + e.getKey(),
                    e.getValue(), into));
        } else if (node.isArray()) {
            List<String> scalars = new ArrayList<>();
            for (int i = 0; i < node.size(); i++) {
                if (node.get(i).isContainerNode()) {
                    flatten(path + "." + i, node.get(i), into);
                } else {
                    scalars.add(word(node.get(i)));
                }
            }
            into.put(path + ".count", String.valueOf(node.size()));
            into.put(path, String.join(",", scalars));
        } else if (!node.isNull()) {
            into.put(path, word(node));
        }
    }

    private static String word(JsonNode scalar) {
        return scalar.asText().replace('\n', ' ');
    }
}
