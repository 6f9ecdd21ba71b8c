package holdmux.app.bench;

import holdmux.app.demo.PgClient;
import holdmux.app.demo.QuoteClient;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.sql.FlightSqlClient;

/** The benchmark's connections, a common form over both fronts; a request that is not served ends the run. */
final class Clients {
    private Clients() {}

    /** One connection. */
    interface Reader extends AutoCloseable {
        void read(String sql) throws Exception;
    }

    static final class PgReader implements Reader {
        private final PgClient client;

        PgReader(int port) throws Exception {
            client = new PgClient(port);
        }

        @Override
        public void read(String sql) {
            if (client.execute(sql) != QuoteClient.Outcome.SERVED) {
                throw new IllegalStateException("not served");
            }
        }

        @Override
        public void close() throws Exception {
            client.close();
        }
    }

    static final class FlightReader implements Reader {
        private final FlightSqlClient client;

        FlightReader(FlightSqlClient client) {
            this.client = client;
        }

        @Override
        public void read(String sql) throws Exception {
            try (FlightStream stream = client.getStream(client.execute(sql).getEndpoints().get(0).getTicket())) {
                while (stream.next()) {
                    // all of it
                }
            }
        }

        @Override
        public void close() throws Exception {
            client.close();
        }
    }
}
