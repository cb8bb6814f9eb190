package burlford.clients;

import burlford.core.ClientLimits;
import burlford.core.Counters;
import burlford.core.EventLog;
import burlford.core.RuleViolations;
import burlford.core.Timers;
import burlford.policy.ConnectionRules;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The clients' connections on all fronts. Past a share of the descriptors they would use up those that
 * readers, discovery and the store need. For one more then, the one that waits longest without a request
 * goes: hundreds that connect and say nothing must not shut out those that ask. Where all are at work the
 * new one is answered with a refusal, and past a further share it is closed unread. The bytes of requests
 * are held within a share of the heap.
 */
public final class Connections {

    /** A connection that had a request may be closed once it has had none for so long. */
    private static final long RESTED = 2_000_000;

    private final Timers timers;
    private final LongSupplier clock;
    private final ClientLimits crowd;
    private final Counters counters;
    private final EventLog events;
    private final RuleViolations violations;
    private int most;
    private int toRefuse;
    private int open;
    private int unwritten;
    /** Requests decoded since the event loop last ran its timers. */
    private int decodedInIteration;
    /** Those with no request so far, those told that they end, and those between requests; each since when. */
    private final Map<HttpConnection, Long> silent = new LinkedHashMap<>();
    private final Map<HttpConnection, Long> resting = new LinkedHashMap<>();
    /** Those that hold memory for a request that is not complete or a reply that is not taken; each since when. */
    private final Map<HttpConnection, Long> holding = new LinkedHashMap<>();

    /** descriptors: all that the process may hold. crowd: the connections and requests of the whole process. */
    public Connections(int descriptors, ClientLimits crowd, Counters counters, Timers deadlines, LongSupplier clock) {
        this.crowd = crowd;
        this.counters = counters;
        this.timers = deadlines;
        this.clock = clock;
        this.events = new EventLog(Connections.class, clock);
        this.violations = new RuleViolations(counters);
        setDescriptorLimit(descriptors);
    }

    /** Of sixteen descriptors clients hold nine, and one to be refused; the rest is for all others. */
    public void setDescriptorLimit(int descriptors) {
        most = Math.max(1, descriptors * 9 / 16);
        toRefuse = Math.max(1, descriptors / 16);
    }

    Timers timers() {
        return timers;
    }

    long now() {
        return clock.getAsLong();
    }

    /** Counts a new one, and makes room for it if there is none. */
    void opened(HttpConnection c) {
        open++;
        crowd.opened();
        if (isOverLimit() && crowd.mustEvictOwn()) {
            evictIdleConnection();
        }
        silent.put(c, now());
    }

    /** Closes the one that waits longest without a request, if one may go. */
    public void evictIdleConnection() {
        for (HttpConnection goes = nextToGo(); goes != null; goes = nextToGo()) {
            if (goes.isStillAwaitingRequest()) {
                goes.close(CloseReason.MAKE_ROOM);
                return;
            }
            markBusy(goes);
        }
    }

    private HttpConnection nextToGo() {
        HttpConnection silentLongest = first(silent, 0);
        return silentLongest == null ? first(resting, RESTED) : silentLongest;
    }

    /** Since when the one that would go to make room has waited; Long.MAX_VALUE where none may go. */
    public long longestIdleSince() {
        if (!silent.isEmpty()) {
            return silent.values().iterator().next();
        }
        long since = resting.isEmpty() ? Long.MAX_VALUE : resting.values().iterator().next();
        return since == Long.MAX_VALUE || now() - since < RESTED ? Long.MAX_VALUE : since;
    }

    /** Connections between requests, those longest so first, that another event loop could take. */
    public List<HttpConnection> movableConnections(int most) {
        List<HttpConnection> all = new ArrayList<>();
        for (Map<HttpConnection, Long> waiting : List.of(resting, silent)) {
            for (HttpConnection c : waiting.keySet()) {
                if (all.size() < most && c.isMovable()) {
                    all.add(c);
                }
            }
        }
        return all;
    }

    /** Connections on this event loop. */
    public int openCount() {
        return open;
    }

    private HttpConnection first(Map<HttpConnection, Long> waiting, long least) {
        Iterator<Map.Entry<HttpConnection, Long>> all = waiting.entrySet().iterator();
        if (!all.hasNext()) {
            return null;
        }
        Map.Entry<HttpConnection, Long> longest = all.next();
        return now() - longest.getValue() >= least ? longest.getKey() : null;
    }

    /** Counts why a connection is about to be closed from this side. */
    void recordClose(CloseReason reason, Object client) {
        events.log("client", client, "closed:", reason);
        counters.add("clients.connections.closed." + reason.name().toLowerCase(Locale.ROOT));
    }

    void recordViolation(RuleViolations.Rule rule, Object client) {
        violations.add(rule, client);
    }

    void closed(HttpConnection c) {
        open--;
        crowd.closed();
        holding.remove(c);
        markBusy(c);
    }

    /** It has a request in work. */
    void markBusy(HttpConnection c) {
        silent.remove(c);
        resting.remove(c);
    }

    /** It had its reply. */
    void markIdle(HttpConnection c) {
        resting.put(c, now());
    }

    boolean isIdle(HttpConnection c) {
        return resting.containsKey(c);
    }

    /** It has no request in work, nor has one begun. */
    boolean isAwaitingRequest(HttpConnection c) {
        return resting.containsKey(c) || silent.containsKey(c);
    }

    /** It had its last reply and is to go. */
    void markClosing(HttpConnection c) {
        silent.put(c, now());
    }

    public boolean hasOpenConnections() {
        return open > 0;
    }

    /** Little room is left: connections end behind their replies, which frees them sooner than their rest would. */
    boolean isNearLimit() {
        return crowd.openCount() > most * 3 / 4;
    }

    boolean isOverLimit() {
        return crowd.openCount() > most;
    }

    boolean isFull() {
        return crowd.openCount() > most + toRefuse;
    }

    /** Reserves bytes without making room for them. */
    boolean tryReserve(int bytes) {
        return crowd.tryReserve(bytes);
    }

    /** Reserves bytes for a connection; others that have held memory for long give theirs up for it. */
    boolean tryReserve(HttpConnection c, int bytes) {
        boolean reserved = crowd.tryReserve(bytes);
        for (HttpConnection slow = slowest(c); !reserved && slow != null; slow = slowest(c)) {
            holding.remove(slow);
            slow.giveUpMemory();
            reserved = crowd.tryReserve(bytes);
        }
        return reserved;
    }

    /** Has all connections give up what they hold for requests that are not complete and replies that are not taken. */
    public void giveUpAllMemory() {
        for (HttpConnection holder : List.copyOf(holding.keySet())) {
            holding.remove(holder);
            holder.giveUpMemory();
        }
    }

    private HttpConnection slowest(HttpConnection except) {
        for (Map.Entry<HttpConnection, Long> entry : holding.entrySet()) {
            if (!ConnectionRules.mustGiveUpMemory(now() - entry.getValue())) {
                return null;
            }
            if (entry.getKey() != except) {
                return entry.getKey();
            }
        }
        return null;
    }

    /** From now on it holds memory until its client goes on, if it did not before. */
    void startHolding(HttpConnection c) {
        holding.putIfAbsent(c, now());
    }

    void stopHolding(HttpConnection c) {
        holding.remove(c);
    }

    void release(int bytes) {
        crowd.release(bytes);
    }

    void countMemoryGivenUp() {
        counters.add("clients.connections.memory_given_up");
    }

    void onRequestDecoded() {
        if (decodedInIteration == 0) {
            timers.schedule(now(), () -> decodedInIteration = 0);
        }
        decodedInIteration++;
    }

    int decodedInIteration() {
        return decodedInIteration;
    }

    void onReplyStarted() {
        unwritten++;
    }

    void onReplyWritten() {
        unwritten--;
    }

    /** No reply is still on its way into a connection. */
    public boolean allRepliesWritten() {
        return unwritten == 0;
    }
}
