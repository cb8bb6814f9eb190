package burlford.clients;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request is rejected by its head alone, whatever its body is; says with which status and why. */
final class UnacceptableRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient HttpResponseStatus status;

    UnacceptableRequestException(HttpResponseStatus status, String message) {
        super(message);
        this.status = status;
    }

    HttpResponseStatus status() {
        return status;
    }
}
