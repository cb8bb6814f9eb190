package burlford.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReaderListParserTest {

    private static final int CELLS = 3;
    private static final String LIST = "{\"revision\":1,\"complete\":true,\"members\":[{\"id\":\"%s\","
            + "\"locality\":\"%s\",\"host_port\":\"127.0.0.1:9\",\"cell\":0,\"phase\":\"Ready\"}]}";

    private static ReaderListParser.ReaderList parse(String id, String zone) throws Exception {
        return ReaderListParser.parse(new ObjectMapper().readTree(String.format(LIST, id, zone)), CELLS);
    }

    /** Guards against a list that cannot be written to the store, nor its readers told apart. */
    @ParameterizedTest
    @ValueSource(strings = {"\\ud800", "r\\udc00x"})
    void halvesOfSurrogatePairsAreRejected(String text) throws Exception {
        assertThatThrownBy(() -> parse(text, "a")).isInstanceOf(ReaderListParser.MalformedListException.class);
        assertThatThrownBy(() -> parse("r", text)).isInstanceOf(ReaderListParser.MalformedListException.class);
    }

    @Test
    void namesPassAsTheyAre() throws Exception {
        assertThat(parse("\u0150-\\ud83d\\ude95", "a").entries().get(0).id()).isEqualTo("\u0150-\ud83d\ude95");
    }
}
