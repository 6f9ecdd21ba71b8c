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
 * What HTTP/2 frames of our own making prove to the upstream. Guards against a gRPC that words its proofs in another way,
 * or that sends a call again by itself.
 */
@Timeout(40)
class UnprocessedStreamTest {
    private static final int RST_STREAM = 3, SETTINGS = 4, GOAWAY = 7, PREFACE = 24, ACK = 1;

    /** What a peer does once a whole call has come to it. */
    private enum PeerBehaviour {
        GOAWAY_BELOW(true), REFUSED_STREAM(true), RESET_STREAM(false), CLOSES(false);

        /** Whether that proves that nothing ran. */
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
                FlightFixture rig = new FlightFixture(StandIns.FLIGHT_KIND)) {
            Thread acceptor = new Thread(() -> accept(listener, peer, calls));
            acceptor.setDaemon(true);
            acceptor.start();
            rig.standIns.setAddress("s-1", new InetSocketAddress("127.0.0.1", listener.getLocalPort()));
            FlightFixture.await(() -> rig.pooler.services().registry().address(storeIdAt(rig, listener)) != null);
            String result = rig.queryPg("INSERT INTO facts (code, data) VALUES ('k', '\\x9f') RETURNING data "
                    + "/* id=w1,c=save-quote,d=600,cluster=1 */");
            rig.awaitIdle();
            // probes are calls as well; one that gRPC sent again by itself would be beyond both
            assertTrue(calls.get() <= rig.counter(Counter.ATTEMPTS) + rig.counter(Counter.PROBES), calls.toString());
            long unprocessed = rig.counter(Counter.ATTEMPT_CONNECT_FAILED);
            if (peer.provesUnprocessed) {
                // the last try may be cut by the client's own time, or given up just before it, before its frames come
                long cut = rig.counter(Counter.ATTEMPT_TIMEOUT) + rig.counter(Counter.ATTEMPT_CANCELLED);
                assertTrue(result.equals(FlightFixture.REFUSED) || cut > 0, result + ": " + rig.pooler.services().counters());
                assertTrue(unprocessed >= 1 && rig.counter(Counter.ATTEMPT_RESET) == 0, rig.pooler.services().counters().toString());
            } else {
                assertEquals(FlightFixture.FAILED, result);
                assertEquals(1, rig.counter(Counter.ATTEMPTS));
                assertEquals(1, rig.counter(Counter.ATTEMPT_RESET), rig.pooler.services().counters().toString());
            }
        }
    }

    /** The module's number of the server that is listed at the listener; 0 while none is. */
    private static long storeIdAt(FlightFixture rig, ServerSocket listener) {
        java.util.zip.CRC32 crc = new java.util.zip.CRC32();
        crc.update("s-1".getBytes());
        InetSocketAddress address = rig.pooler.services().registry().address(crc.getValue());
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
            // the test is over
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
                } else if (type == 0 && (flags & 1) != 0) { // DATA that ends the stream: the call is whole
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
            // the peer left
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
