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
 * Follows discovery's reader list by a watch request from the last revision held, which is repeated whenever it ends.
 * If no list is held, or the last one was malformed, the whole list is fetched first.
 *
 * <p>If a request stays silent, another is opened beside it, and the first one to receive data is kept: neither a
 * request that hangs nor one that is slow delays a change.
 */
public final class Watch {

    private static final Logger LOG = Logger.getLogger(Watch.class.getName());
    private static final String PATH = "/v1/servers";
    /**
     * Delay after a request has ended; doubled each time without a list, up to a limit within a drain's grace period.
     */
    private static final long MIN_RETRY_DELAY_US = 50_000;
    private static final long MAX_RETRY_DELAY_US = 250_000;
    /** Discovery sends an empty line every 2 s; a watch that receives nothing for this long counts as silent. */
    private static final long WATCH_SILENCE_US = 2_500_000;
    /** If a request is not answered within this time, another is opened beside it. */
    private static final long REQUEST_SILENCE_US = 600_000;
    /** A list that arrives in pieces is awaited for this long. */
    private static final long LIST_TIMEOUT_US = 3_000_000;
    /** Far below the grace period of a drain, which begins when the change arrives, not when it is read. */
    private static final long MIN_READ_INTERVAL_US = 20_000;
    /** Limit on open requests; at the limit the oldest is closed before another is opened. */
    private static final int MAX_REQUESTS = 8;

    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private final ReaderRegistry readerRegistry;
    private final Timers timers;
    private final ObjectMapper json = new ObjectMapper();
    private final RequestListener requestListener = new RequestListener();
    /** Open requests, oldest first. */
    private final Deque<DiscoveryRequest> requests = new ArrayDeque<>();
    private long revision = -1;
    private boolean wholeListNeeded;
    private long retryDelayUs = MIN_RETRY_DELAY_US;
    private Timers.Timer silenceTimer;
    private Timers.Timer retryTimer;
    private boolean stopped;
    private boolean responseReceived;
    private long lastReadAt;

    public Watch(Bootstrap bootstrap, InetSocketAddress address, ReaderRegistry readerRegistry, Timers timers) {
        this.bootstrap = bootstrap;
        this.address = address;
        this.readerRegistry = readerRegistry;
        this.timers = timers;
    }

    /** Starts to follow discovery. lastKnown: the reader list known from before; null: none. */
    public void start(ReaderListParser.ReaderList lastKnown) {
        if (lastKnown != null) {
            revision = lastKnown.revision();
            readerRegistry.updateReaders(ListKind.CACHED, lastKnown.entries());
        }
        wholeListNeeded = lastKnown == null;
        openRequest();
    }

    /** Discovery has moved. Revisions may differ at the new address, so the whole list is fetched first. */
    public void changeAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            LOG.log(Level.INFO, "discovery: the address is now {0}", newAddress);
            address = newAddress;
            wholeListNeeded = true;
            retryDelayUs = MIN_RETRY_DELAY_US;
            closeRequests();
            openRequest();
        }
    }

    /** Whether discovery has answered since the start and has sent the whole list where that was needed. */
    public boolean isCurrent() {
        return responseReceived && !wholeListNeeded;
    }

    /** Reads what has arrived during a long event-loop iteration, unless this was done a moment ago. */
    public void readNow() {
        if (readerRegistry.now() - lastReadAt >= MIN_READ_INTERVAL_US) {
            lastReadAt = readerRegistry.now();
            List.copyOf(requests).forEach(DiscoveryRequest::readNow);
        }
    }

    public void stop() {
        stopped = true;
        closeRequests();
    }

    private void closeRequests() {
        timers.cancel(silenceTimer);
        timers.cancel(retryTimer);
        requests.forEach(DiscoveryRequest::close);
        requests.clear();
    }

    private void openRequest() {
        if (requests.size() >= MAX_REQUESTS) {
            requests.removeFirst().close();
        }
        String uri = wholeListNeeded ? PATH : PATH + "?watch=1&from=" + revision;
        LOG.log(Level.FINE, "discovery: requests {1} from {0}", new Object[] {address, uri});
        readerRegistry.counters().add("discovery.connections");
        DiscoveryRequest request = new DiscoveryRequest(address, uri, json, readerRegistry.now(), requestListener);
        requests.addLast(request);
        restartSilenceTimer(REQUEST_SILENCE_US);
        request.open(bootstrap);
    }

    private void restartSilenceTimer(long timeoutUs) {
        timers.cancel(silenceTimer);
        silenceTimer = timers.schedule(readerRegistry.now() + timeoutUs, () -> {
            readerRegistry.counters().add("discovery.silent");
            LOG.log(Level.INFO, "discovery: {0} is silent at revision {1}; sends another request beside {2} open ones",
                    new Object[] {address, Long.toString(revision), requests.size()});
            openRequest();
        });
    }

    /** Closes the other requests, since data has arrived on this one. */
    private void closeAllExcept(DiscoveryRequest request) {
        requests.stream().filter(other -> other != request).forEach(DiscoveryRequest::close);
        requests.removeIf(other -> other != request);
    }

    private void applyList(ReaderListParser.ReaderList list) {
        if (list.complete() || list.revision() != revision) {
            LOG.log(Level.INFO, "discovery: list at revision {0}, {1}, {2} readers in it", new Object[] {
                Long.toString(list.revision()), list.complete() ? "whole" : "changes", list.entries().size()});
        }
        revision = list.revision();
        retryDelayUs = MIN_RETRY_DELAY_US;
        wholeListNeeded &= !list.complete();
        readerRegistry.updateReaders(list.complete() ? ListKind.WHOLE : ListKind.CHANGES, list.entries());
    }

    private final class RequestListener implements DiscoveryRequest.Listener {

        @Override
        public void responseStarted(DiscoveryRequest request) {
            responseReceived = true;
            closeAllExcept(request);
            restartSilenceTimer(wholeListNeeded ? REQUEST_SILENCE_US : WATCH_SILENCE_US);
        }

        @Override
        public void listProgressed(DiscoveryRequest request) {
            if (readerRegistry.now() - request.openedAt < LIST_TIMEOUT_US) {
                restartSilenceTimer(REQUEST_SILENCE_US);
            }
        }

        @Override
        public void heartbeatReceived(DiscoveryRequest request) {
            closeAllExcept(request);
            restartSilenceTimer(WATCH_SILENCE_US);
        }

        @Override
        public void listReceived(DiscoveryRequest request, JsonNode list) {
            closeAllExcept(request);
            readerRegistry.counters().add("discovery.lists");
            try {
                applyList(ReaderListParser.parse(list, readerRegistry.site().cells()));
            } catch (ReaderListParser.MalformedListException e) {
                listMalformed(request, e.getMessage());
            }
        }

        /**
         * The last list stays in force. The malformed list may have held changes, so the whole list is fetched again.
         */
        @Override
        public void listMalformed(DiscoveryRequest request, String reason) {
            readerRegistry.counters().add("discovery.lists.bad");
            LOG.log(Level.WARNING, "discovery: bad list: {0}", reason);
            wholeListNeeded = true;
            request.close();
            requestEnded(request, "malformed list");
        }

        @Override
        public void requestEnded(DiscoveryRequest request, String reason) {
            LOG.log(Level.INFO, "discovery: request to {0} at revision {1} ended: {2}", new Object[] {address,
                Long.toString(revision), reason});
            requests.remove(request);
            if (requests.isEmpty() && !stopped) {
                timers.cancel(silenceTimer);
                timers.cancel(retryTimer);
                retryTimer = timers.schedule(readerRegistry.now() + retryDelayUs, Watch.this::openRequest);
                retryDelayUs = Math.min(MAX_RETRY_DELAY_US, retryDelayUs * 2);
            }
        }
    }
}
