package burlford.clients;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Reads and writes the JSON of clients. */
public final class ClientJson {

    private ClientJson() { }

    /** A mapper that remembers no field names: clients may make up new ones in each request. */
    public static ObjectMapper createMapper() {
        return new ObjectMapper(JsonFactory.builder()
                .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
                .build());
    }
}
