package burlford.clients;

import burlford.core.Utf8;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The target of a request, decoded as UTF-8. What cannot be decoded is an error, in place of being replaced.
 *
 * @param parameters the values of each parameter of the query, in their order
 */
public record RequestTarget(String path, Map<String, List<String>> parameters) {

    private static final int HEX = 16;
    private static final int ESCAPE_CHARACTERS = 3;

    /** The target cannot be decoded; the message says why. */
    public static final class MalformedTargetException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedTargetException(String message) {
            super("malformed URI: " + message);
        }
    }

    /** Decodes a target as the HTTP library gives it, with a character a byte. */
    public static RequestTarget parse(String target) throws MalformedTargetException {
        if (target.indexOf('#') >= 0) {
            throw new MalformedTargetException("a request has no fragment");
        }
        int queryAt = target.indexOf('?');
        String path = queryAt < 0 ? target : target.substring(0, queryAt);
        Map<String, List<String>> parameters = new LinkedHashMap<>();
        if (queryAt >= 0) {
            for (String parameter : target.substring(queryAt + 1).split("&")) {
                addParameter(parameter, parameters);
            }
        }
        return new RequestTarget(decode(path, false), parameters);
    }

    private static void addParameter(String parameter, Map<String, List<String>> parameters)
            throws MalformedTargetException {
        if (parameter.isEmpty()) {
            return;
        }
        int valueAt = parameter.indexOf('=');
        String name = valueAt < 0 ? parameter : parameter.substring(0, valueAt);
        String value = valueAt < 0 ? "" : parameter.substring(valueAt + 1);
        parameters.computeIfAbsent(decode(name, true), n -> new ArrayList<>()).add(decode(value, true));
    }

    private static String decode(String encoded, boolean plusIsSpace) throws MalformedTargetException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(encoded.length());
        for (int i = 0; i < encoded.length(); i++) {
            char c = encoded.charAt(i);
            if (c == '%') {
                bytes.write(escapedByte(encoded, i));
                i += ESCAPE_CHARACTERS - 1;
            } else {
                bytes.write(c == '+' && plusIsSpace ? ' ' : c);
            }
        }
        try {
            return Utf8.decode(bytes.toByteArray());
        } catch (Utf8.MalformedTextException e) {
            throw new MalformedTargetException(e.getMessage());
        }
    }

    private static int escapedByte(String encoded, int at) throws MalformedTargetException {
        if (at + ESCAPE_CHARACTERS <= encoded.length()) {
            int high = Character.digit(encoded.charAt(at + 1), HEX);
            int low = Character.digit(encoded.charAt(at + 2), HEX);
            if (high >= 0 && low >= 0) {
                return high * HEX + low;
            }
        }
        throw new MalformedTargetException("a % without two hexadecimal digits");
    }
}
