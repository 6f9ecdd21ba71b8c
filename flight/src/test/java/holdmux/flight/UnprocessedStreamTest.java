package holdmux.flight;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Counters.Counter;
import holdmux.standins.StandIns;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Sends hand-written HTTP/2 frames to the upstream and checks which of them count as proof that a request was not
 * processed. Guards against a gRPC version that describes these cases differently or retries a call by itself.
 */
@Timeout(40)
class UnprocessedStreamTest {
    private static final int RST_STREAM = 3, SETTINGS = 4, GOAWAY = 7, PREFACE = 24, ACK = 1;

    /** What the peer does once it has received a complete call. */
    private enum PeerBehaviour {
        GOAWAY_BELOW(true), REFUSED_STREAM(true), RESET_STREAM(false), CLOSES(false);

        /** Whether this proves that the call was not processed. */
        final boolean provesUnprocessed;

        PeerBehaviour(boolean provesUnprocessed) {
            this.provesUnprocessed = provesUnprocessed;
        }
    }

    @ParameterizedTest
    @EnumSource(PeerBehaviour.class)
    void writeIsRetriedOnlyOnProofThatNothingRan(PeerBehaviour peer) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                FlightFixture fixture = new FlightFixture(StandIns.FLIGHT_KIND)) {
            Thread acceptor = new Thread(() -> accept(listener, peer, calls));
            acceptor.setDaemon(true);
            acceptor.start();
            fixture.standIns.setAddress("s-1", new InetSocketAddress("127.0.0.1", listener.getLocalPort()));
            FlightFixture.await(() -> fixture.pooler.services().registry().address(serverIdAt(fixture, listener)) != null);
            String result = fixture.queryPg("INSERT INTO facts (code, data) VALUES ('k', '\\x9f') RETURNING data "
                    + "/* id=w1,c=save-quote,d=3000,cluster=1 */");
            fixture.awaitIdle();
            // probes are calls too; a call retried by gRPC itself would exceed the sum
            assertTrue(calls.get() <= fixture.counter(Counter.ATTEMPTS) + fixture.counter(Counter.PROBES), calls.toString());
            long unprocessed = fixture.counter(Counter.ATTEMPT_CONNECT_FAILED);
            if (peer.provesUnprocessed) {
                // the client's deadline may end or cancel the last attempt before its frames arrive
                long cut = fixture.counter(Counter.ATTEMPT_TIMEOUT) + fixture.counter(Counter.ATTEMPT_CANCELLED);
                assertTrue(result.equals(FlightFixture.REFUSED) || cut > 0, result + ": " + fixture.pooler.services().counters());
                assertTrue(unprocessed >= 1 && fixture.counter(Counter.ATTEMPT_RESET) == 0,
                        fixture.pooler.services().counters().toString());
            } else {
                assertEquals(FlightFixture.FAILED, result);
                assertEquals(1, fixture.counter(Counter.ATTEMPTS));
                assertEquals(1, fixture.counter(Counter.ATTEMPT_RESET), fixture.pooler.services().counters().toString());
            }
        }
    }

    /** The id of the server that is listed with the listener's address; 0 while there is none. */
    private static long serverIdAt(FlightFixture fixture, ServerSocket listener) {
        java.util.zip.CRC32 crc = new java.util.zip.CRC32();
        crc.update("s-1".getBytes());
        InetSocketAddress address = fixture.pooler.services().registry().address(crc.getValue());
        return address != null && address.getPort() == listener.getLocalPort() ? crc.getValue() : 0;
    }

    private static void accept(ServerSocket listener, PeerBehaviour peer, AtomicInteger calls) {
        try {
            while (true) {
                Socket socket = listener.accept();
                Thread thread = new Thread(() -> servePeer(socket, peer, calls));
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // the listener was closed at the end of the test
        }
    }

    private static void servePeer(Socket socket, PeerBehaviour peer, AtomicInteger calls) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            in.readNBytes(PREFACE);
            writeFrame(out, SETTINGS, 0, 0);
            while (true) {
                int lengthAndType = in.readInt();
                int flags = in.readUnsignedByte();
                int stream = in.readInt();
                in.readNBytes(lengthAndType >>> 8);
                int type = lengthAndType & 0xff;
                if (type == SETTINGS && flags != ACK) {
                    writeFrame(out, SETTINGS, ACK, 0);
                } else if (type == 0 && (flags & 1) != 0) { // DATA with END_STREAM: the call is complete
                    calls.incrementAndGet();
                    switch (peer) {
                        case GOAWAY_BELOW -> writeFrame(out, GOAWAY, 0, 0, 0, 0);
                        case REFUSED_STREAM -> writeFrame(out, RST_STREAM, 0, stream, 7);
                        case RESET_STREAM -> writeFrame(out, RST_STREAM, 0, stream, 2);
                        case CLOSES -> {
                            return;
                        }
                    }
                }
            }
        } catch (IOException e) {
            // the client closed the connection
        }
    }

    private static void writeFrame(DataOutputStream out, int type, int flags, int stream, int... words) throws IOException {
        out.writeInt(words.length * 4 << 8 | type);
        out.writeByte(flags);
        out.writeInt(stream);
        for (int word : words) {
            out.writeInt(word);
        }
        out.flush();
    }
}
