package holdmux.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.config.ConfigTest;
import holdmux.config.HostList;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class HttpResponseTest {
    private static final String PLAIN = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 4\r\n\r\nbody";
    private static final String CHUNKED =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nbod\r\n1\r\ny\r\n0\r\n\r\n";

    private static HttpResponse read(String text) throws IOException {
        return HttpResponse.read(new ByteArrayInputStream(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    @Test
    void readsAllFormsOfBodies() throws IOException {
        assertEquals(new HttpResponse(200, "body", true), read(PLAIN + "next"));
        assertEquals(new HttpResponse(200, "body", true), read(CHUNKED + "next"));
        assertEquals(new HttpResponse(404, "", false), read("HTTP/1.0 404 No\r\nContent-Length: 0\r\n\r\n"));
        assertEquals(new HttpResponse(200, "to the end", false), read("HTTP/1.1 200 OK\r\n\r\nto the end"));
    }

    /** The connection close that ends a body without a length may be lost, so a complete JSON object ends it too. */
    @Test
    void bodyWithoutLengthEndsWithItsJsonObject() throws IOException {
        String head = "HTTP/1.1 200 OK\r\n\r\n";
        String list = "{\"seq\":1,\"whole\":true,\"hosts\":[{}]}";
        assertEquals(list + "\n", HttpResponse.read(inputThatTimesOutAfter(head + list + "\n")).body());
        assertThrows(IOException.class, () -> HttpResponse.read(inputThatTimesOutAfter(head + list.substring(0, list.length() - 2))));
    }

    /** The input of a socket whose peer sends this text and then neither sends more nor closes. */
    private static InputStream inputThatTimesOutAfter(String text) {
        return new SequenceInputStream(new ByteArrayInputStream(text.getBytes(StandardCharsets.US_ASCII)), new InputStream() {
            @Override
            public int read() throws IOException {
                throw new SocketTimeoutException("read timed out");
            }
        });
    }

    @Test
    void rejectsOversizedAndMalformedMessages() {
        assertThrows(IOException.class, () -> read("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"));
        assertThrows(IOException.class, () -> read("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"));
        assertThrows(IOException.class, () -> read("HTTP/1.1 200 OK\r\n" + "a: b\r\n".repeat(101) + "\r\n"));
        assertThrows(IOException.class, () -> read("HTTP/1.1 200 " + "x".repeat(9_000)));
        assertThrows(IOException.class, () -> read(CHUNKED.replace("3;x", "7fffffff;x")));
    }

    @Test
    void readsAListOfAThousandServers() throws IOException {
        String list = ConfigTest.largeList().toString(8);
        String body = read("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list).body();
        assertEquals(1_024, HostList.decode(body).hosts().size());
    }

    @Property(tries = 200, seed = "31")
    void rejectsTruncatedResponses(@ForAll boolean chunked, @ForAll @IntRange(max = 100) int length) {
        String text = chunked ? CHUNKED : PLAIN;
        assertThrows(IOException.class, () -> read(text.substring(0, Math.min(length, text.length() - 1))));
    }

    @Property(tries = 500, seed = "32")
    void rejectsGarbageWithAnIOException(@ForAll byte[] garbage, @ForAll @IntRange(max = 60) int offset) {
        byte[] bytes = CHUNKED.getBytes(StandardCharsets.ISO_8859_1);
        System.arraycopy(garbage, 0, bytes, offset, Math.min(garbage.length, bytes.length - offset));
        for (byte[] input : new byte[][] {garbage, bytes}) {
            try {
                assertTrue(HttpResponse.read(new ByteArrayInputStream(input)).status() >= 100);
            } catch (IOException e) {
                assertTrue(e.getMessage().length() > 3);
            }
        }
    }
}
