package holdmux.app.bench;

import holdmux.app.demo.PgClient;
import holdmux.app.demo.QuoteClient;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.sql.FlightSqlClient;

/** The benchmark's client connections over both fronts. A request that is not served ends the run. */
final class Clients {
    private Clients() {}

    /** A connection that sends reads. */
    interface Reader extends AutoCloseable {
        /** Sends a read and waits for its whole answer. */
        void read(String sql) throws Exception;
    }

    /** Reads over the PostgreSQL front. */
    static final class PgReader implements Reader {
        private final PgClient client;

        PgReader(int port) throws Exception {
            client = new PgClient(port);
        }

        @Override
        public void read(String sql) {
            if (client.execute(sql) != QuoteClient.Outcome.SERVED) {
                throw new IllegalStateException("the pooler did not serve a request");
            }
        }

        @Override
        public void close() throws Exception {
            client.close();
        }
    }

    /** Reads over the Flight SQL front. */
    static final class FlightReader implements Reader {
        private final FlightSqlClient client;

        FlightReader(FlightSqlClient client) {
            this.client = client;
        }

        @Override
        public void read(String sql) throws Exception {
            try (FlightStream stream = client.getStream(client.execute(sql).getEndpoints().get(0).getTicket())) {
                while (stream.next()) {
                    // reads all batches and discards them
                }
            }
        }

        @Override
        public void close() throws Exception {
            client.close();
        }
    }
}
