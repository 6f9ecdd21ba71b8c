package holdmux.discovery;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.json.JSONException;
import org.json.JSONObject;

/** An HTTP/1.1 response, read completely and with bounded sizes; {@code keepAlive}: the connection can be used again. */
record HttpResponse(int status, String body, boolean keepAlive) {
    /** A list of 1,024 servers with the longest names, indented, is 1.1 MiB; it is in memory twice while it is decoded. */
    static final int MAX_BODY = 4 << 20;

    private static final int BUFFER_SIZE = 16_384;
    /**
     * How often a body without a length is checked for being a complete JSON object. If more of its reads happen to end in a
     * closing brace, it is read until the connection ends.
     */
    private static final int MAX_JSON_CHECKS = 64;

    /** The body is larger than {@link #MAX_BODY}. */
    static final class TooLongException extends IOException {
        private static final long serialVersionUID = 1L;

        TooLongException() {
            super("body larger than " + MAX_BODY + " bytes");
        }
    }

    /** Reads one response. */
    static HttpResponse read(InputStream in) throws IOException {
        HttpHead head = HttpHead.read(in);
        String statusLine = head.startLine();
        if (!statusLine.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
            throw new IOException("malformed HTTP status line");
        }
        long length = head.contentLength();
        boolean chunked = "chunked".equals(head.headers().get("transfer-encoding"));
        boolean keepAlive = statusLine.startsWith("HTTP/1.1") && !"close".equals(head.headers().get("connection"));
        byte[] body = chunked ? readChunked(in) : length >= 0 ? readExactly(in, length) : readToEnd(in);
        return new HttpResponse(Integer.parseInt(statusLine.substring(9, 12)),
                new String(body, StandardCharsets.UTF_8), keepAlive && (chunked || length >= 0));
    }

    private static byte[] readChunked(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String sizeLine = HttpHead.readLine(in);
            int extension = sizeLine.indexOf(';');
            long size = HttpHead.parseLength((extension < 0 ? sizeLine : sizeLine.substring(0, extension)).strip(), 16);
            if (body.size() + size > MAX_BODY) {
                throw new TooLongException();
            }
            if (size == 0) {
                int trailers = 0;
                while (!HttpHead.readLine(in).isEmpty()) {
                    if (++trailers > HttpHead.MAX_HEADERS) {
                        throw new IOException("too many trailers");
                    }
                }
                return body.toByteArray();
            }
            body.writeBytes(readExactly(in, size));
            if (!HttpHead.readLine(in).isEmpty()) {
                throw new IOException("chunk longer than its declared size");
            }
        }
    }

    private static byte[] readExactly(InputStream in, long length) throws IOException {
        if (length > MAX_BODY) {
            throw new TooLongException();
        }
        byte[] body = in.readNBytes((int) length);
        if (body.length < length) {
            throw new EOFException("unexpected end of the body");
        }
        return body;
    }

    /**
     * Reads a body without a length, up to the end of the connection or of the JSON object that it holds, since the connection
     * may stay open. A reset is an error, not the end of the body.
     */
    private static byte[] readToEnd(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] buffer = new byte[BUFFER_SIZE];
        int checks = 0;
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
            body.write(buffer, 0, count);
            if (body.size() > MAX_BODY) {
                throw new TooLongException();
            }
            if (endsInBrace(buffer, count) && ++checks <= MAX_JSON_CHECKS && isCompleteJson(body)) {
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

    private static boolean isCompleteJson(ByteArrayOutputStream body) {
        try {
            new JSONObject(body.toString(StandardCharsets.UTF_8));
            return true;
        } catch (JSONException e) {
            return false;
        }
    }
}
