package holdmux.discovery;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** One HTTP/1.1 response, read whole with bounds on all its parts. */
record HttpResponse(int status, String body, boolean keepAlive) {
    /** 1,024 servers with indentation and the longest names take 1.1 MiB; a list is held twice while it is decoded. */
    static final int MOST_BODY = 4 << 20;

    /** A body beyond {@link #MOST_BODY}. */
    static final class TooLongException extends IOException {
        private static final long serialVersionUID = 1L;

        TooLongException() {
            super("a body over " + MOST_BODY + " bytes");
        }
    }

    static HttpResponse read(InputStream in) throws IOException {
        HttpHead head = HttpHead.read(in);
        String status = head.first();
        if (!status.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
            throw new IOException("no HTTP status line");
        }
        long length = head.contentLength();
        boolean chunked = "chunked".equals(head.headers().get("transfer-encoding"));
        boolean keepAlive = status.startsWith("HTTP/1.1") && !"close".equals(head.headers().get("connection"));
        byte[] body = chunked ? chunks(in) : length >= 0 ? exactly(in, length) : toEnd(in);
        return new HttpResponse(Integer.parseInt(status.substring(9, 12)),
                new String(body, StandardCharsets.UTF_8), keepAlive && (chunked || length >= 0));
    }

    private static byte[] chunks(InputStream in) throws IOException {
        java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
        while (true) {
            String head = HttpHead.line(in);
            int extension = head.indexOf(';');
            long size = HttpHead.number((extension < 0 ? head : head.substring(0, extension)).strip(), 16);
            if (body.size() + size > MOST_BODY) {
                throw new TooLongException();
            }
            if (size == 0) {
                int trailers = 0;
                while (!HttpHead.line(in).isEmpty()) {
                    if (++trailers > HttpHead.MOST_HEADERS) {
                        throw new IOException("too many trailers");
                    }
                }
                return body.toByteArray();
            }
            body.writeBytes(exactly(in, size));
            if (!HttpHead.line(in).isEmpty()) {
                throw new IOException("a chunk is longer than it says");
            }
        }
    }

    private static byte[] exactly(InputStream in, long length) throws IOException {
        if (length > MOST_BODY) {
            throw new TooLongException();
        }
        byte[] body = in.readNBytes((int) length);
        if (body.length < length) {
            throw new EOFException("the body ends early");
        }
        return body;
    }

    private static byte[] toEnd(InputStream in) throws IOException {
        byte[] body = in.readNBytes(MOST_BODY + 1);
        if (body.length > MOST_BODY) {
            throw new TooLongException();
        }
        return body;
    }
}
