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

/** The operators' commands: a request to a member's door, its answer printed. They return an exit status. */
public final class StoreCommand {

    private static final Duration PATIENCE = Duration.ofSeconds(15);

    private StoreCommand() { }

    public static int get(String address, String path) throws IOException {
        return send(request(address, path).GET());
    }

    public static int put(String address, String path, Path file) throws IOException {
        return send(request(address, path).PUT(BodyPublishers.ofFile(file)));
    }

    private static HttpRequest.Builder request(String address, String path) throws IOException {
        try {
            return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(PATIENCE);
        } catch (IllegalArgumentException e) {
            throw new IOException("not an address and a key: " + e.getMessage());
        }
    }

    private static int send(HttpRequest.Builder request) throws IOException {
        try {
            // A member that does not lead redirects a write to the one that does.
            HttpClient client = HttpClient.newBuilder().followRedirects(HttpClient.Redirect.NORMAL).build();
            HttpResponse<String> answer = client.send(request.build(), BodyHandlers.ofString());
            boolean done = answer.statusCode() == 200;
            (done ? System.out : System.err).print(answer.body());
            return done ? 0 : 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
