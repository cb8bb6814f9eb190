package burlford.search;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.LinkedHashMap;
import java.util.Map;

/** What a search asks for that is malformed or cannot be honoured, in the dialect's own terms. */
final class SearchRequestException extends Exception {

    private static final long serialVersionUID = 1L;
    final transient HttpResponseStatus status;
    /** Null for what is told in a plain sentence: no such path, no such method. */
    final String type;
    /** What goes beside the type and the reason, and headers of the answer. */
    final transient Map<String, String> details;
    final transient Map<String, String> headers;
    boolean pretty;

    private SearchRequestException(HttpResponseStatus status, String type, String reason, Map<String, String> details,
            Map<String, String> headers) {
        super(reason);
        this.status = status;
        this.type = type;
        this.details = details;
        this.headers = headers;
    }

    SearchRequestException(HttpResponseStatus status, String type, String reason) {
        this(status, type, reason, Map.of(), Map.of());
    }

    static SearchRequestException indexNotFound(String name) {
        Map<String, String> details = new LinkedHashMap<>();
        details.put("index", name);
        details.put("resource.id", name);
        details.put("resource.type", "index_or_alias");
        details.put("index_uuid", "_na_");
        return new SearchRequestException(HttpResponseStatus.NOT_FOUND, "index_not_found_exception", "no such index ["
                + name + "]", details, Map.of());
    }

    static SearchRequestException pathNotFound(String path, Object method) {
        return new SearchRequestException(HttpResponseStatus.BAD_REQUEST, null,
                "no handler found for uri [" + path + "] and method [" + method + "]");
    }

    static SearchRequestException methodNotAllowed(String path, Object method, String allowed) {
        return new SearchRequestException(HttpResponseStatus.METHOD_NOT_ALLOWED, null, "Incorrect HTTP method for uri ["
                + path + "] and method [" + method + "], allowed: [" + allowed + "]", Map.of(),
                Map.of("Allow", allowed));
    }

    static SearchRequestException illegalArgument(String reason) {
        return new SearchRequestException(HttpResponseStatus.BAD_REQUEST, "illegal_argument_exception", reason);
    }

    static SearchRequestException parsingError(String reason) {
        return new SearchRequestException(HttpResponseStatus.BAD_REQUEST, "parsing_exception", reason);
    }
}
