package burlford.daemon;

import burlford.clients.HttpConnection;
import burlford.core.ClientLimits;
import burlford.core.ReaderConnectionLimits;
import burlford.core.ReaderRegistry;
import burlford.core.SingleLaneState;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;

/** One lane, on the process's one loop. */
final class SingleLaneGroup implements LaneGroup {

    private final Lane lane;

    SingleLaneGroup(EventLoopDriver turns, DaemonContext shared) {
        DaemonContext.ParsedConfiguration setup = shared.parsedConfiguration();
        lane = new Lane(0, turns, shared, Lane.createDispatcher(setup, 0, 1), new SingleLaneState(turns::stallUs),
                ReaderConnectionLimits.singleLane(), ClientLimits.singleLane(Lane.maxRequestBytes()),
                turns.counters::text);
    }

    @Override
    public ReaderRegistry readerRegistry() {
        return lane.coordinator;
    }

    @Override
    public void onBeforeSend(Runnable action) {
        lane.coordinator.onBeforeSend(action);
    }

    @Override
    public Bootstrap outboundBootstrap() {
        return lane.outboundBootstrap;
    }

    @Override
    public void configureListener(ServerBootstrap listener, FrontType door) {
        listener.childHandler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel c) {
                lane.serveAccepted(c, door);
            }
        });
    }

    @Override
    public void serve(Channel client, HttpConnection.Front front) {
        lane.serve(client, front);
    }

    @Override
    public void reconfigure(DaemonContext.ParsedConfiguration setup) {
        lane.reconfigure(setup, Lane.createDispatcher(setup, 0, 1));
    }

    @Override
    public void updateLimits(Configuration configuration) {
        lane.connections.setDescriptorLimit(configuration.maxSockets());
    }

    @Override
    public void evictIdleConnection() {
        lane.connections.evictIdleConnection();
    }

    @Override
    public void drain() {
        lane.drain();
    }

    @Override
    public boolean isDrained() {
        return lane.isDrained();
    }

    @Override
    public String countersText() {
        return lane.loopDriver.counters.text();
    }
}
