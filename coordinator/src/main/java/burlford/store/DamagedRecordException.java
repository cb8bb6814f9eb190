package burlford.store;

import java.io.IOException;

/** A record of a file is damaged and is not an incomplete last one. */
final class DamagedRecordException extends IOException {

    private static final long serialVersionUID = 1L;
    private final long offset;

    /** offset: of the record's first byte in the file. */
    DamagedRecordException(long offset) {
        super("damaged record at byte " + offset);
        this.offset = offset;
    }

    long offset() {
        return offset;
    }
}
