package burlford.store;

/** Where a record's payload is in its file. offset: of its first byte; length: in bytes. */
record RecordPosition(long offset, int length) { }
