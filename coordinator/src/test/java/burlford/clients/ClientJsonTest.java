package burlford.clients;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClientJsonTest {

    private final ObjectMapper json = ClientJson.createMapper();

    /** Guards against memory that grows by each field name that a client makes up. */
    @Test
    void fieldNamesOfClientsAreNotRemembered() {
        JsonFactory factory = json.getFactory();
        assertThat(factory.isEnabled(JsonFactory.Feature.INTERN_FIELD_NAMES)).isFalse();
        assertThat(factory.isEnabled(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)).isFalse();
    }

    /** Guards against bytes that are not UTF-8 and are replaced: Latin-2, cut, overlong, surrogates, UTF-16. */
    @ParameterizedTest
    @ValueSource(strings = {"d5", "c5", "f09f9a", "c1bf", "eda080", "eda0bdedba95", "f8888080", "80", "ff"})
    void bytesThatAreNotUtf8AreRejected(String bytes) {
        String body = "{\"expr\":\"" + new String(HexFormat.of().parseHex(bytes), StandardCharsets.ISO_8859_1) + "\"}";
        assertThatThrownBy(() -> ClientJson.parseObject(json, body.getBytes(StandardCharsets.ISO_8859_1)))
                .isInstanceOf(InvalidJsonException.class).hasMessageContaining("not valid UTF-8");
        assertThatThrownBy(() -> ClientJson.parseObject(json, "{}".getBytes(StandardCharsets.UTF_16)))
                .isInstanceOf(InvalidJsonException.class);
    }

    /** Guards against escapes that stand for no character and would be written as question marks. */
    @ParameterizedTest
    @ValueSource(strings = {"{\"a\":\"\\ud800\"}", "{\"a\":[{\"b\":\"x\\udc00\"}]}", "{\"\\ud800\":1}",
        "{\"a\":{\"b\\udfff\":null}}", "{\"a\":\"\\udc00\\ud800\"}", "{\"a\":\"\\ud800\\u0041\"}"})
    void halvesOfSurrogatePairsAreRejected(String body) {
        assertThatThrownBy(() -> ClientJson.parseObject(json, body.getBytes(StandardCharsets.UTF_8)))
                .isInstanceOf(InvalidJsonException.class).hasMessageContaining("surrogate");
    }

    /** Text that can be read is read as it is, also behind a byte order mark. */
    @Test
    void utf8IsReadAsItIs() throws InvalidJsonException {
        byte[] body = "\uFEFF{\"a\":\"\u0150 \\ud83d\\ude95 \ud83d\ude95\"}".getBytes(StandardCharsets.UTF_8);
        assertThat(ClientJson.parseObject(json, body).get("a").textValue())
                .isEqualTo("\u0150 \ud83d\ude95 \ud83d\ude95");
    }
}
