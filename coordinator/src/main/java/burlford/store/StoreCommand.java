package burlford.store;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.time.Duration;

/** Operator commands: send a request to a member's HTTP front, print the response and return an exit status. */
public final class StoreCommand {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);

    private StoreCommand() { }

    public static int get(String address, String path) throws IOException {
        return send(request(address, path).GET());
    }

    public static int put(String address, String path, Path file) throws IOException {
        return send(request(address, path).PUT(BodyPublishers.ofFile(file)));
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
            HttpResponse<String> response = client.send(request.build(), BodyHandlers.ofString());
            boolean succeeded = response.statusCode() == 200;
            (succeeded ? System.out : System.err).print(response.body());
            return succeeded ? 0 : 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
