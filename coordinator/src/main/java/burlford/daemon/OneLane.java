package burlford.daemon;

import burlford.clients.HttpConnection;
import burlford.core.Alone;
import burlford.core.Census;
import burlford.core.Crowd;
import burlford.core.Roster;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;

/** One lane, on the process's one loop. */
final class OneLane implements Serving {

    private final Lane lane;

    OneLane(Turns turns, Shared shared) {
        Shared.Setup setup = shared.setup();
        lane = new Lane(0, turns, shared, Lane.dispatcher(setup, 0, 1), new Alone(turns::stoodStill), Census.alone(),
                Crowd.alone(Lane.mostHeld()), turns.counters::text);
    }

    @Override
    public Roster roster() {
        return lane.coordinator;
    }

    @Override
    public void onSending(Runnable action) {
        lane.coordinator.onSending(action);
    }

    @Override
    public Bootstrap out() {
        return lane.out;
    }

    @Override
    public void accept(ServerBootstrap listener, Door door) {
        listener.childHandler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel c) {
                lane.take(c, door);
            }
        });
    }

    @Override
    public void serve(Channel client, HttpConnection.Front front) {
        lane.serve(client, front);
    }

    @Override
    public void reconfigure(Shared.Setup setup) {
        lane.reconfigure(setup, Lane.dispatcher(setup, 0, 1));
    }

    @Override
    public void limit(Configuration configuration) {
        lane.connections.limit(configuration.sockets());
    }

    @Override
    public void makeRoom() {
        lane.connections.makeRoom();
    }

    @Override
    public void drain() {
        lane.drain();
    }

    @Override
    public boolean over() {
        return lane.over();
    }

    @Override
    public String countersText() {
        return lane.turns.counters.text();
    }
}
