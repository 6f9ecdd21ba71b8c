package holdmux.discovery;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.json.JSONException;
import org.json.JSONObject;

/** One HTTP/1.1 response, read whole with bounds on all its parts. */
record HttpResponse(int status, String body, boolean keepAlive) {
    /** 1,024 servers with indentation and the longest names take 1.1 MiB; a list is held twice while it is decoded. */
    static final int MOST_BODY = 4 << 20;

    private static final int CHUNK = 16_384;
    /** How often a body without a length is looked at for being whole; one in pieces that end so by chance waits for its end. */
    private static final int MOST_LOOKS = 64;

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
        ByteArrayOutputStream body = new ByteArrayOutputStream();
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

    /**
     * A body without a length, up to its end: the connection's, or that of the one JSON object it holds, since the close may
     * not come. A reset is no end.
     */
    private static byte[] toEnd(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] some = new byte[CHUNK];
        int looks = 0;
        for (int got = in.read(some); got >= 0; got = in.read(some)) {
            body.write(some, 0, got);
            if (body.size() > MOST_BODY) {
                throw new TooLongException();
            }
            if (endsInBrace(some, got) && ++looks <= MOST_LOOKS && isWhole(body)) {
                break;
            }
        }
        return body.toByteArray();
    }

    private static boolean endsInBrace(byte[] bytes, int length) {
        int at = length - 1;
        while (at >= 0 && Character.isWhitespace(bytes[at])) {
            at--;
        }
        return at >= 0 && bytes[at] == '}';
    }

    private static boolean isWhole(ByteArrayOutputStream body) {
        try {
            new JSONObject(body.toString(StandardCharsets.UTF_8));
            return true;
        } catch (JSONException e) {
            return false;
        }
    }
}
