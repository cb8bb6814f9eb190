package burlford.store;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;

/** Operator commands: send a request to a member's HTTP front, print the response and return an exit status. */
public final class StoreCommand {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);

    private StoreCommand() { }

    /** Prints who leads, and the version of each key. */
    public static int status(String address) throws IOException {
        return send(request(address, "/store").GET());
    }

    /** Prints the value of a key. */
    public static int get(String address, String key) throws IOException {
        return send(request(address, path(key)).GET());
    }

    /** Writes the file's bytes as the value of a key that is at this version. */
    public static int put(String address, String key, String version, Path file) throws IOException {
        return send(request(address, path(key) + "?from=" + URLEncoder.encode(version, StandardCharsets.UTF_8))
                .PUT(BodyPublishers.ofFile(file)));
    }

    private static String path(String key) {
        return "/store/" + URLEncoder.encode(key, StandardCharsets.UTF_8).replace("+", "%20");
    }

    private static HttpRequest.Builder request(String address, String path) throws IOException {
        try {
            return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(REQUEST_TIMEOUT);
        } catch (IllegalArgumentException e) {
            throw new IOException("not an address and a key: " + e.getMessage());
        }
    }

    private static int send(HttpRequest.Builder request) throws IOException {
        try {
            // A follower redirects writes to the leader.
            HttpClient client = HttpClient.newBuilder().followRedirects(HttpClient.Redirect.NORMAL).build();
            HttpResponse<byte[]> response = client.send(request.build(), BodyHandlers.ofByteArray());
            boolean succeeded = response.statusCode() == 200;
            // The bytes as they are: print() would replace what the locale's encoding does not have.
            (succeeded ? System.out : System.err).writeBytes(response.body());
            return succeeded ? 0 : 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
