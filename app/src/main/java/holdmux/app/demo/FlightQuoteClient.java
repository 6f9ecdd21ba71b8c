package holdmux.app.demo;

import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightInfo;
import org.apache.arrow.flight.FlightRuntimeException;
import org.apache.arrow.flight.FlightStatusCode;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.Location;
import org.apache.arrow.flight.sql.FlightSqlClient;
import org.apache.arrow.memory.BufferAllocator;

/** Sends requests through Arrow's Flight SQL client. */
final class FlightQuoteClient implements QuoteClient {
    private final FlightSqlClient client;

    FlightQuoteClient(int port, BufferAllocator allocator) {
        client = new FlightSqlClient(
                FlightClient.builder(allocator, Location.forGrpcInsecure("127.0.0.1", port)).build());
    }

    @Override
    public Outcome execute(String sql) {
        try {
            FlightInfo info = client.execute(sql);
            try (FlightStream stream = client.getStream(info.getEndpoints().get(0).getTicket())) {
                while (stream.next()) {
                    // reads all batches and discards them
                }
            }
            return Outcome.SERVED;
        } catch (FlightRuntimeException e) {
            FlightStatusCode code = e.status().code();
            return code == FlightStatusCode.RESOURCE_EXHAUSTED ? Outcome.REFUSED : Outcome.FAILED;
        } catch (Exception e) {
            return Outcome.FAILED;
        }
    }

    @Override
    public void close() throws Exception {
        client.close();
    }
}
