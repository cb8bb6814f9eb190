package burlford.discovery;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.util.TokenBuffer;
import java.io.IOException;
import java.util.function.Consumer;

/**
 * Parses a stream of JSON objects that arrives in pieces of any size. White space, line breaks among it, may stand
 * between objects and within them.
 */
final class JsonObjectStream {

    private final ObjectMapper json;
    private final int longestObject;
    private final JsonParser parser;
    private final ByteArrayFeeder input;
    private TokenBuffer object;
    private int depth;
    private long objectBytes;

    /** longestObject: bytes; a longer one fails. */
    JsonObjectStream(ObjectMapper json, int longestObject) throws IOException {
        this.json = json;
        this.longestObject = longestObject;
        parser = json.getFactory().createNonBlockingByteArrayParser();
        input = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Parses the next bytes and hands over each object that they complete; throws where they are no JSON objects. */
    void feed(byte[] bytes, Consumer<JsonNode> completed) throws IOException {
        objectBytes += bytes.length;
        input.feedInput(bytes, 0, bytes.length);
        for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE; token = parser.nextToken()) {
            take(token, completed);
        }
        if (!inObject()) {
            objectBytes = 0;
        } else if (objectBytes > longestObject) {
            throw new JsonParseException(parser, "an object is longer than " + longestObject + " bytes");
        }
    }

    /** An object has begun and not ended. */
    boolean inObject() {
        return depth > 0;
    }

    private void take(JsonToken token, Consumer<JsonNode> completed) throws IOException {
        if (depth == 0) {
            if (token != JsonToken.START_OBJECT) {
                throw new JsonParseException(parser, "not an object");
            }
            object = new TokenBuffer(parser);
        }
        object.copyCurrentEvent(parser);
        if (token.isStructStart()) {
            depth++;
        } else if (token.isStructEnd()) {
            depth--;
        }
        if (depth == 0) {
            JsonNode node = json.readTree(object.asParser());
            object = null;
            completed.accept(node);
        }
    }
}
