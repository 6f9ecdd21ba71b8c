package holdmux.discovery;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The start line and the headers of an HTTP/1.1 message, with bounded sizes. Header names and values are in lower case.
 */
public record HttpHead(String startLine, Map<String, String> headers) {
    /** The longest start line or header line, in bytes. */
    static final int MAX_LINE = 8_192;
    /** The most headers, or trailers, of a message. */
    static final int MAX_HEADERS = 100;

    /** Reads up to and including the empty line that ends the headers. */
    public static HttpHead read(InputStream in) throws IOException {
        String startLine = readLine(in);
        Map<String, String> headers = new HashMap<>();
        int count = 0;
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon < 1 || ++count > MAX_HEADERS) {
                throw new IOException("malformed header, or too many headers");
            }
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip().toLowerCase(Locale.ROOT));
        }
        return new HttpHead(startLine, headers);
    }

    /** The value of the Content-Length header; -1 if there is none. */
    public long contentLength() throws IOException {
        String length = headers.get("content-length");
        return length == null ? -1 : parseLength(length, 10);
    }

    /** Parses a length without a sign. */
    static long parseLength(String text, int radix) throws IOException {
        try {
            long value = Long.parseLong(text, radix);
            if (value >= 0 && !text.startsWith("+") && !text.startsWith("-")) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new IOException("malformed length");
    }

    /** Reads a line that ends in LF or CRLF, and returns it without its end. */
    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("unexpected end of the message");
            }
            if (line.length() >= MAX_LINE) {
                throw new IOException("line longer than " + MAX_LINE + " bytes");
            }
            line.append((char) c);
        }
        int end = line.length();
        return line.substring(0, end > 0 && line.charAt(end - 1) == '\r' ? end - 1 : end);
    }
}
