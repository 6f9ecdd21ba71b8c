package holdmux.discovery;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One HTTP/1.1 response, read whole with bounds on all its parts. */
record HttpResponse(int status, String body, boolean keepAlive) {
    /** A fleet of twenty servers takes 3 KiB; this is room for thousands. */
    static final int MOST_BODY = 1 << 20;
    private static final int MOST_LINE = 8_192;
    private static final int MOST_HEADERS = 100;

    static HttpResponse read(InputStream in) throws IOException {
        String status = line(in);
        if (!status.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
            throw new IOException("no HTTP status line");
        }
        long length = -1;
        boolean chunked = false;
        boolean keepAlive = status.startsWith("HTTP/1.1");
        int headers = 0;
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            if (colon < 1 || ++headers > MOST_HEADERS) {
                throw new IOException("a malformed header, or too many of them");
            }
            String value = line.substring(colon + 1).strip().toLowerCase(Locale.ROOT);
            switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
                case "content-length" -> length = number(value, 10);
                case "transfer-encoding" -> chunked = value.equals("chunked");
                case "connection" -> keepAlive = !value.equals("close");
                default -> { }
            }
        }
        byte[] body = chunked ? chunks(in) : length >= 0 ? exactly(in, length) : toEnd(in);
        return new HttpResponse(Integer.parseInt(status.substring(9, 12)),
                new String(body, StandardCharsets.UTF_8), keepAlive && (chunked || length >= 0));
    }

    private static byte[] chunks(InputStream in) throws IOException {
        java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
        while (true) {
            String head = line(in);
            int extension = head.indexOf(';');
            long size = number((extension < 0 ? head : head.substring(0, extension)).strip(), 16);
            if (body.size() + size > MOST_BODY) {
                throw new IOException("a body over " + MOST_BODY + " bytes");
            }
            if (size == 0) {
                int trailers = 0;
                while (!line(in).isEmpty()) {
                    if (++trailers > MOST_HEADERS) {
                        throw new IOException("too many trailers");
                    }
                }
                return body.toByteArray();
            }
            body.writeBytes(exactly(in, size));
            if (!line(in).isEmpty()) {
                throw new IOException("a chunk is longer than it says");
            }
        }
    }

    private static byte[] exactly(InputStream in, long length) throws IOException {
        if (length > MOST_BODY) {
            throw new IOException("a body over " + MOST_BODY + " bytes");
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
            throw new IOException("a body over " + MOST_BODY + " bytes");
        }
        return body;
    }

    private static long number(String text, int radix) throws IOException {
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

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("the response ends early");
            }
            if (line.length() >= MOST_LINE) {
                throw new IOException("a line over " + MOST_LINE + " bytes");
            }
            line.append((char) c);
        }
        int end = line.length();
        return line.substring(0, end > 0 && line.charAt(end - 1) == '\r' ? end - 1 : end);
    }
}
