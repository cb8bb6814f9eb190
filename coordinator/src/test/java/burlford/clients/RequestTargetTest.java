package burlford.clients;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestTargetTest {

    @Test
    void targetIsDecodedAsUtf8() throws Exception {
        RequestTarget target = RequestTarget.parse("/a+b/%C5%90?q=x+%c5%90%2b\u00c5\u0090;y=1&&q=&flag");
        assertThat(target.path()).isEqualTo("/a+b/\u0150");
        assertThat(target.parameters())
                .isEqualTo(Map.of("q", List.of("x \u0150+\u0150;y=1", ""), "flag", List.of("")));
        assertThat(RequestTarget.parse("/").parameters()).isEmpty();
    }

    /** Guards against targets that are cut, or in which what cannot be decoded is replaced. */
    @ParameterizedTest
    @ValueSource(strings = {"/%d5", "/?q=%d5rs", "/?%d5=1", "/?q=\u00d5rs", "/?q=%ed%a0%80", "/?q=%c0%af", "/?q=%",
        "/%4", "/?q=%zz", "/?q=%+1", "/?q=a#b", "/a#?q=b"})
    void whatCannotBeDecodedIsRejected(String target) {
        assertThatThrownBy(() -> RequestTarget.parse(target))
                .isInstanceOf(RequestTarget.MalformedTargetException.class).hasMessageStartingWith("malformed URI: ");
    }
}
