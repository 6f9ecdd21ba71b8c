package holdmux.discovery;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** The first line and the headers of an HTTP/1.1 message, by their names in lower case, read with bounds on all parts. */
public record HttpHead(String startLine, Map<String, String> headers) {
    static final int MAX_LINE = 8_192;
    static final int MAX_HEADERS = 100;

    public static HttpHead read(InputStream in) throws IOException {
        String startLine = readLine(in);
        Map<String, String> headers = new HashMap<>();
        int count = 0;
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon < 1 || ++count > MAX_HEADERS) {
                throw new IOException("a malformed header, or too many of them");
            }
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip().toLowerCase(Locale.ROOT));
        }
        return new HttpHead(startLine, headers);
    }

    /** The length of the body by its header; -1 where there is none. */
    public long contentLength() throws IOException {
        String length = headers.get("content-length");
        return length == null ? -1 : parseLength(length, 10);
    }

    static long parseLength(String text, int radix) throws IOException {
        try {
            long value = Long.parseLong(text, radix);
            if (value >= 0 && !text.startsWith("+") && !text.startsWith("-")) {
                return value;
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new IOException("a malformed length");
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("the message ends early");
            }
            if (line.length() >= MAX_LINE) {
                throw new IOException("a line over " + MAX_LINE + " bytes");
            }
            line.append((char) c);
        }
        int end = line.length();
        return line.substring(0, end > 0 && line.charAt(end - 1) == '\r' ? end - 1 : end);
    }
}
