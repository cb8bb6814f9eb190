package burlford.core;

import burlford.policy.Aggregator.Outcome;
import burlford.policy.Dispatcher.Part;
import burlford.policy.Dispatcher.Send;
import burlford.policy.Word;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

/** The commons of a coordinator that is the only one of its process. */
public final class Alone implements Commons {

    private final Set<String> ids = new HashSet<>();
    private int open;
    private long lastNumber;
    private final LongSupplier stoodStill;

    /** stoodStill: by how many microseconds what is read now may be older than it looks. */
    public Alone(LongSupplier stoodStill) {
        this.stoodStill = stoodStill;
    }

    @Override
    public void catchUp() { }

    @Override
    public boolean claim(String id) {
        return ids.add(id);
    }

    @Override
    public void release(String id) {
        ids.remove(id);
    }

    @Override
    public boolean enter(int units, int most) {
        if (open + units > most) {
            return false;
        }
        open += units;
        return true;
    }

    @Override
    public void leave(int units) {
        open -= units;
    }

    @Override
    public long number() {
        return ++lastNumber;
    }

    @Override
    public boolean mayProbe(String reader) {
        return true;
    }

    @Override
    public void sent(Send send, Part part, int queryClass, long at, long until) { }

    @Override
    public void ended(Send send, Outcome outcome, long at, long elapsed, double[] load) { }

    @Override
    public void probed(String reader, Outcome outcome, long at, long elapsed, double[] load) { }

    @Override
    public List<Word> heard() {
        return List.of();
    }

    @Override
    public long stoodStill() {
        return stoodStill.getAsLong();
    }
}
