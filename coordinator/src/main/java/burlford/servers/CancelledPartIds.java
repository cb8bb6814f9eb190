package burlford.servers;

import java.util.HashSet;
import java.util.Set;

/**
 * Part ids of the calls that were cancelled on a connection and may still be answered on it, since a reader may go on
 * with work that has begun. Answers are matched to calls by part id alone, so a later call with such an id must use
 * another connection. No id is forgotten before its answer has arrived; a full set ends the use of the connection.
 */
final class CancelledPartIds {

    /** Bounds the memory of a connection, since not all cancelled calls are answered. */
    private static final int CAPACITY = 256;

    private final Set<String> ids = new HashSet<>();

    void add(String partId) {
        ids.add(partId);
    }

    boolean contains(String partId) {
        return ids.contains(partId);
    }

    /** Notes that the answer to a cancelled call has arrived; false where no cancelled call has this id. */
    boolean removeAnswered(String partId) {
        return ids.remove(partId);
    }

    boolean isEmpty() {
        return ids.isEmpty();
    }

    boolean isFull() {
        return ids.size() >= CAPACITY;
    }
}
