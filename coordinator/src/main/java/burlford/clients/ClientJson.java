package burlford.clients;

import burlford.core.Utf8;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import java.util.Map;

/** Reads and writes the JSON of clients. */
public final class ClientJson {

    private static final String BYTE_ORDER_MARK = "\uFEFF";
    private static final String UNICODE_ESCAPE = "\\u";

    private ClientJson() { }

    /**
     * A mapper that remembers no field names, since clients may make up new ones in each request, and takes nothing
     * behind a value but white space.
     */
    public static ObjectMapper createMapper() {
        return new ObjectMapper(JsonFactory.builder()
                .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
                .build()).enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    }

    /**
     * Parses a body as a JSON object in UTF-8. The bytes are decoded here, since without canonical field names the
     * library replaces those that it cannot decode.
     */
    public static JsonNode parseObject(ObjectMapper json, byte[] body) throws InvalidJsonException {
        try {
            String text = Utf8.decode(body);
            JsonNode object = json.readTree(text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text);
            if (!object.isObject()) {
                throw new InvalidJsonException("the body is not a JSON object");
            }
            if (text.contains(UNICODE_ESCAPE) && !isWellFormed(object)) {
                throw new InvalidJsonException("malformed JSON: a string with half of a surrogate pair");
            }
            return object;
        } catch (Utf8.MalformedTextException e) {
            throw new InvalidJsonException("malformed JSON: " + e.getMessage());
        } catch (MismatchedInputException e) {
            throw new InvalidJsonException("malformed JSON: something stands behind its object");
        } catch (JsonProcessingException e) {
            throw new InvalidJsonException("malformed JSON: " + e.getOriginalMessage());
        }
    }

    /** Whether all strings and field names can be encoded: escapes may stand for half of a surrogate pair. */
    private static boolean isWellFormed(JsonNode node) {
        if (node.isTextual() && !Utf8.isWellFormed(node.textValue())) {
            return false;
        }
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            if (!Utf8.isWellFormed(field.getKey())) {
                return false;
            }
        }
        for (JsonNode child : node) {
            if (!isWellFormed(child)) {
                return false;
            }
        }
        return true;
    }
}
