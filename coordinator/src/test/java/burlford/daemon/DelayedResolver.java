package burlford.daemon;

import io.netty.resolver.AbstractAddressResolver;
import io.netty.resolver.AddressResolver;
import io.netty.resolver.AddressResolverGroup;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Holds back connections until a test lets them come up, as a network would that is slow. */
final class DelayedResolver extends AddressResolverGroup<InetSocketAddress> {

    private final List<Runnable> held = new ArrayList<>();
    private boolean open;

    /** From now on connections come up, those held so far first. */
    void release() {
        open = true;
        List.copyOf(held).forEach(Runnable::run);
        held.clear();
    }

    int heldCount() {
        return held.size();
    }

    @Override
    protected AddressResolver<InetSocketAddress> newResolver(EventExecutor executor) {
        return new AbstractAddressResolver<>(executor, InetSocketAddress.class) {
            @Override
            protected boolean doIsResolved(InetSocketAddress address) {
                return open;
            }

            @Override
            protected void doResolve(InetSocketAddress address, Promise<InetSocketAddress> promise) {
                held.add(() -> promise.setSuccess(address));
            }

            @Override
            protected void doResolveAll(InetSocketAddress address, Promise<List<InetSocketAddress>> promise) {
                throw new UnsupportedOperationException("only single addresses");
            }
        };
    }
}
