package burlford.clients;

import burlford.net.HeapCumulator;
import burlford.policy.ConnectionRules;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/** Decodes HTTP requests, with a bounded number of header fields, and tells how much memory it holds. */
final class RequestDecoder extends HttpRequestDecoder {

    private final FieldsFactory fields;

    RequestDecoder() {
        this(new FieldsFactory());
    }

    private RequestDecoder(FieldsFactory fields) {
        super(new HttpDecoderConfig().setHeadersFactory(fields).setTrailersFactory(fields));
        this.fields = fields;
        setCumulator(new HeapCumulator());
    }

    /** The length would be dropped, and the body read otherwise than whoever passed it on to us read it. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        fields.heldBytes = ConnectionRules.REQUEST_OVERHEAD_BYTES;
        for (String word : initialLine) {
            fields.heldBytes += word.length();
        }
        return super.createMessage(initialLine);
    }

    /** Bytes that have been read and not decoded. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Bytes of the heap that the head of the request in progress takes, and what is not decoded of it. */
    int heldBytes() {
        return actualReadableBytes() + fields.heldBytes;
    }

    /** The request that was in progress is complete and not the decoder's any more. Returns what its head takes. */
    int releaseHead() {
        int released = fields.heldBytes;
        fields.heldBytes = 0;
        return released;
    }

    /** Creates the heads and trailers of a connection's requests, and counts the memory that their fields take. */
    private static final class FieldsFactory implements HttpHeadersFactory {
        private int heldBytes;

        @Override
        public HttpHeaders newHeaders() {
            return new BoundedHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new BoundedHeaders();
        }

        private final class BoundedHeaders extends DefaultHttpHeaders {
            private int count;

            @Override
            public HttpHeaders add(CharSequence name, Object value) {
                addField(name, value);
                return super.add(name, value);
            }

            @Override
            public HttpHeaders add(String name, Object value) {
                addField(name, value);
                return super.add(name, value);
            }

            private void addField(CharSequence name, Object value) {
                if (!ConnectionRules.mayAddField(count)) {
                    throw new TooLongHttpHeaderException("more than " + ConnectionRules.MAX_HEADER_FIELDS
                            + " header fields");
                }
                count++;
                heldBytes += ConnectionRules.FIELD_OVERHEAD_BYTES + name.length() + value.toString().length();
            }
        }
    }
}
