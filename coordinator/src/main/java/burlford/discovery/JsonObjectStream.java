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
 * Parses a stream of JSON objects that arrives in pieces of any size. White space, including line breaks, is allowed
 * between objects and within them.
 */
final class JsonObjectStream {

    private final ObjectMapper json;
    private final int maxObjectBytes;
    private final JsonParser parser;
    private final ByteArrayFeeder input;
    private TokenBuffer currentObject;
    private int depth;
    private long objectBytes;

    /** maxObjectBytes: a longer object is an error. */
    JsonObjectStream(ObjectMapper json, int maxObjectBytes) throws IOException {
        this.json = json;
        this.maxObjectBytes = maxObjectBytes;
        parser = json.getFactory().createNonBlockingByteArrayParser();
        input = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Parses the next bytes and passes on each object that they complete; throws where they are not JSON objects. */
    void feed(byte[] bytes, Consumer<JsonNode> completed) throws IOException {
        objectBytes += bytes.length;
        input.feedInput(bytes, 0, bytes.length);
        for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE; token = parser.nextToken()) {
            handleToken(token, completed);
        }
        if (!inObject()) {
            objectBytes = 0;
        } else if (objectBytes > maxObjectBytes) {
            throw new JsonParseException(parser, "an object is longer than " + maxObjectBytes + " bytes");
        }
    }

    /** Whether an object has begun and is not complete. */
    boolean inObject() {
        return depth > 0;
    }

    private void handleToken(JsonToken token, Consumer<JsonNode> completed) throws IOException {
        if (depth == 0) {
            if (token != JsonToken.START_OBJECT) {
                throw new JsonParseException(parser, "expected a JSON object");
            }
            currentObject = new TokenBuffer(parser);
        }
        currentObject.copyCurrentEvent(parser);
        if (token.isStructStart()) {
            depth++;
        } else if (token.isStructEnd()) {
            depth--;
        }
        if (depth == 0) {
            JsonNode node = json.readTree(currentObject.asParser());
            currentObject = null;
            completed.accept(node);
        }
    }
}
