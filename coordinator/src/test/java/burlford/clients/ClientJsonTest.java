package burlford.clients;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonFactory;
import org.junit.jupiter.api.Test;

class ClientJsonTest {

    /** Guards against memory that grows by each field name that a client makes up. */
    @Test
    void fieldNamesOfClientsAreNotRemembered() {
        JsonFactory factory = ClientJson.createMapper().getFactory();
        assertThat(factory.isEnabled(JsonFactory.Feature.INTERN_FIELD_NAMES)).isFalse();
        assertThat(factory.isEnabled(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)).isFalse();
    }
}
