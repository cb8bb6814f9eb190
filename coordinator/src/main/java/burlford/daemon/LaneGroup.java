package burlford.daemon;

import burlford.clients.HttpConnection;
import burlford.core.ReaderRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;

/** What serves the clients: one lane on the process's first loop, or several lanes on loops of their own. */
interface LaneGroup {

    /** Where the list of readers is told. */
    ReaderRegistry readerRegistry();

    /**
     * What reads changes of the list before parts are sent. Run on the first loop; lanes of their own are told by
     * orders.
     */
    void onBeforeSend(Runnable action);

    /** For connections to others, on the process's first loop. */
    Bootstrap outboundBootstrap();

    /** Prepares a listener on the first loop: whose connections it will serve. */
    void configureListener(ServerBootstrap listener, FrontType door);

    /** Serves a connection that came on the first loop there. */
    void serve(Channel client, HttpConnection.Front front);

    /** Settings, for queries to come; those open end under the ones they began with. */
    void reconfigure(DaemonContext.ParsedConfiguration setup);

    /** The limits of the process. */
    void updateLimits(Configuration configuration);

    /** No descriptor is left for a new connection: one that waits for nothing may go. */
    void evictIdleConnection();

    void drain();

    /** Told to stop, and all is answered. */
    boolean isDrained();

    /** The counts of the process, a line each. */
    String countersText();
}
