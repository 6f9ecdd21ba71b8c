package holdmux.flight;

import io.grpc.Drainable;
import io.grpc.KnownLength;
import io.grpc.MethodDescriptor;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.Flight.FlightData;
import org.apache.arrow.flight.impl.Flight.Ticket;
import org.apache.arrow.flight.impl.FlightServiceGrpc;

/**
 * Flight methods whose messages are kept as serialized bytes. A table is relayed without being decoded, so every vector
 * type, dictionary and compression passes unchanged, and each message is copied only once in and once out.
 */
final class RawMethods {
    /** The service's methods that carry {@link FlightData}. */
    static final MethodDescriptor<Ticket, byte[]> DO_GET = FlightServiceGrpc.getDoGetMethod()
            .toBuilder(FlightServiceGrpc.getDoGetMethod().getRequestMarshaller(), new ByteArrayMarshaller()).build();
    static final MethodDescriptor<byte[], Flight.PutResult> DO_PUT = FlightServiceGrpc.getDoPutMethod()
            .toBuilder(new ByteArrayMarshaller(), FlightServiceGrpc.getDoPutMethod().getResponseMarshaller()).build();

    private RawMethods() {}

    private static final class ByteArrayMarshaller implements MethodDescriptor.Marshaller<byte[]> {
        @Override
        public InputStream stream(byte[] message) {
            return new ByteArrayMessage(message);
        }

        @Override
        public byte[] parse(InputStream stream) {
            try {
                // gRPC has already checked the length against the maximum message size
                byte[] message = new byte[stream.available()];
                int read = stream.readNBytes(message, 0, message.length);
                if (read < message.length || stream.read() >= 0) {
                    throw new IOException("the message length differs from the announced length");
                }
                return message;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Reports its length to gRPC in advance and writes itself in a single call. */
    private static final class ByteArrayMessage extends ByteArrayInputStream implements KnownLength, Drainable {
        ByteArrayMessage(byte[] bytes) {
            super(bytes);
        }

        @Override
        public int drainTo(OutputStream target) throws IOException {
            int length = count - pos;
            target.write(buf, pos, length);
            pos = count;
            return length;
        }
    }
}
