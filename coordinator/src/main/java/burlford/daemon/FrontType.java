package burlford.daemon;

import io.netty.util.AttributeKey;

/** The fronts whose clients' connections are dealt out to lanes. */
enum FrontType {
    PLATFORM, SEARCH;

    /** Of a client's connection: by which door it came. */
    static final AttributeKey<FrontType> ATTRIBUTE_KEY = AttributeKey.valueOf(FrontType.class, "door");
}
