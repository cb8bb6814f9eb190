package burlford.discovery;

import burlford.core.ReaderRegistry;
import burlford.core.Timers;
import burlford.policy.Aggregator.ListKind;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Follows discovery: a watch from the last revision held, opened again whenever it ends. Where no list is
 * held, and after one that could not be used, the whole list is fetched first.
 *
 * <p>A call that stays silent is not waited for: another is opened beside it, and the first that says something stays,
 * so that neither one that hangs nor one that is slow keeps a change back.
 */
public final class Watch {

    private static final Logger LOG = Logger.getLogger(Watch.class.getName());
    private static final String PATH = "/v1/servers";
    /** After a call has ended; doubled each time without a list, within the grace of a drain. */
    private static final long FIRST_RETRY_US = 50_000;
    private static final long LONGEST_RETRY_US = 250_000;
    /** An empty line comes every 2 s: a watch that says less has fallen silent. */
    private static final long WATCH_SILENCE_US = 2_500_000;
    /** A call that was never answered is joined by another after so long. */
    private static final long CALL_SILENCE_US = 600_000;
    /** A list that comes in pieces is waited for so long. */
    private static final long LONGEST_LIST_US = 3_000_000;
    /** Far within the grace of a drain, which begins when a change has come, not when it is read. */
    private static final long READ_AGAIN_US = 20_000;
    /** Past this the oldest call is closed. */
    private static final int MOST_CALLS = 8;

    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private final ReaderRegistry roster;
    private final Timers deadlines;
    private final ObjectMapper json = new ObjectMapper();
    private final RequestListener answers = new RequestListener();
    /** Oldest first. */
    private final Deque<DiscoveryRequest> calls = new ArrayDeque<>();
    private long revision = -1;
    private boolean fetch;
    private long retry = FIRST_RETRY_US;
    private Timers.Timer silence;
    private Timers.Timer opening;
    private boolean stopped;
    private boolean answered;
    private long readAt;

    public Watch(Bootstrap bootstrap, InetSocketAddress address, ReaderRegistry roster, Timers deadlines) {
        this.bootstrap = bootstrap;
        this.address = address;
        this.roster = roster;
        this.deadlines = deadlines;
    }

    /** known: the list as last held; null when there is none. */
    public void start(ReaderListParser.ReaderList known) {
        if (known != null) {
            revision = known.revision();
            roster.updateReaders(ListKind.CACHED, known.entries());
        }
        fetch = known == null;
        open();
    }

    /** Discovery has moved. Revisions of another address may mean nothing: its whole list is fetched first. */
    public void changeAddress(InetSocketAddress to) {
        if (!to.equals(address)) {
            LOG.log(Level.INFO, "discovery: now at {0}", to);
            address = to;
            fetch = true;
            retry = FIRST_RETRY_US;
            leave();
            open();
        }
    }

    /** Discovery has answered since the start, and given the whole list where it was needed. */
    public boolean isCurrent() {
        return answered && !fetch;
    }

    /** Reads what has come in a turn of the event loop that takes long, unless it was read a moment ago. */
    public void readNow() {
        if (roster.now() - readAt >= READ_AGAIN_US) {
            readAt = roster.now();
            List.copyOf(calls).forEach(DiscoveryRequest::readNow);
        }
    }

    public void stop() {
        stopped = true;
        leave();
    }

    private void leave() {
        deadlines.cancel(silence);
        deadlines.cancel(opening);
        calls.forEach(DiscoveryRequest::close);
        calls.clear();
    }

    private void open() {
        if (calls.size() >= MOST_CALLS) {
            calls.removeFirst().close();
        }
        String uri = fetch ? PATH : PATH + "?watch=1&from=" + revision;
        LOG.log(Level.FINE, "discovery: asks {0} for {1}", new Object[] {address, uri});
        roster.counters().add("discovery.connections");
        DiscoveryRequest call = new DiscoveryRequest(address, uri, json, roster.now(), answers);
        calls.addLast(call);
        expectWithin(CALL_SILENCE_US);
        call.open(bootstrap);
    }

    private void expectWithin(long wait) {
        deadlines.cancel(silence);
        silence = deadlines.schedule(roster.now() + wait, () -> {
            roster.counters().add("discovery.silent");
            LOG.log(Level.INFO, "discovery: {0} is silent at revision {1}; asked again beside {2} calls",
                    new Object[] {address, Long.toString(revision), calls.size()});
            open();
        });
    }

    /** This call says something: the others are not needed. */
    private void keepOnly(DiscoveryRequest call) {
        calls.stream().filter(c -> c != call).forEach(DiscoveryRequest::close);
        calls.removeIf(c -> c != call);
    }

    private void take(ReaderListParser.ReaderList list) {
        if (list.complete() || list.revision() != revision) {
            LOG.log(Level.INFO, "discovery: revision {0}, {1}, {2} readers named", new Object[] {
                Long.toString(list.revision()), list.complete() ? "whole" : "changes", list.entries().size()});
        }
        revision = list.revision();
        retry = FIRST_RETRY_US;
        fetch &= !list.complete();
        roster.updateReaders(list.complete() ? ListKind.WHOLE : ListKind.CHANGES, list.entries());
    }

    private final class RequestListener implements DiscoveryRequest.Listener {

        @Override
        public void responseStarted(DiscoveryRequest call) {
            answered = true;
            keepOnly(call);
            expectWithin(fetch ? CALL_SILENCE_US : WATCH_SILENCE_US);
        }

        @Override
        public void listProgressed(DiscoveryRequest call) {
            if (roster.now() - call.openedAt < LONGEST_LIST_US) {
                expectWithin(CALL_SILENCE_US);
            }
        }

        @Override
        public void heartbeatReceived(DiscoveryRequest call) {
            keepOnly(call);
            expectWithin(WATCH_SILENCE_US);
        }

        @Override
        public void listReceived(DiscoveryRequest call, JsonNode list) {
            keepOnly(call);
            roster.counters().add("discovery.lists");
            try {
                take(ReaderListParser.parse(list, roster.site().cells()));
            } catch (ReaderListParser.MalformedListException e) {
                listMalformed(call, e.getMessage());
            }
        }

        /** The last list stays. What could not be read is lost, so the whole list is fetched over again. */
        @Override
        public void listMalformed(DiscoveryRequest call, String why) {
            roster.counters().add("discovery.lists.bad");
            LOG.log(Level.WARNING, "discovery: bad list: {0}", why);
            fetch = true;
            call.close();
            ended(call, "bad list");
        }

        @Override
        public void ended(DiscoveryRequest call, String why) {
            LOG.log(Level.INFO, "discovery: connection to {0} at revision {1}: {2}", new Object[] {address,
                Long.toString(revision), why});
            calls.remove(call);
            if (calls.isEmpty() && !stopped) {
                deadlines.cancel(silence);
                deadlines.cancel(opening);
                opening = deadlines.schedule(roster.now() + retry, Watch.this::open);
                retry = Math.min(LONGEST_RETRY_US, retry * 2);
            }
        }
    }
}
