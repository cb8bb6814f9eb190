package burlford.store;

import io.microraft.RaftEndpoint;

/** A member of the store, identified by its name. */
record Member(String name) implements RaftEndpoint {

    @Override
    public Object getId() {
        return name;
    }
}
