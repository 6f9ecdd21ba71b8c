package holdmux.flight;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.standins.StandIns;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.Statement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the front with the published Arrow Flight SQL JDBC driver in its default configuration. */
@Timeout(60)
class JdbcTest {
    @Test
    void readsATableUpdatesAndListsTables() throws Exception {
        try (FlightFixture fixture = new FlightFixture(StandIns.FLIGHT_KIND);
                Connection connection = DriverManager.getConnection("jdbc:arrow-flight-sql://127.0.0.1:"
                        + fixture.location().getUri().getPort() + "/?useEncryption=false");
                Statement statement = connection.createStatement()) {
            String attributes = " /* c=save-quote,d=2000,cluster=1 */";
            assertEquals(1, statement.executeUpdate("INSERT INTO facts (code, data) VALUES ('k', '\\x0102')" + attributes));
            try (ResultSet rows = statement
                    .executeQuery("SELECT data FROM facts WHERE code = 'k' /* c=my-quotes,d=900,cluster=1 */")) {
                assertTrue(rows.next());
                assertArrayEquals(new byte[] {1, 2}, rows.getBytes("data"));
                assertFalse(rows.next());
            }
            try (ResultSet rows = statement
                    .executeQuery("SELECT * FROM rates WHERE code = '5x40' /* c=history,d=900,cluster=1 */")) {
                int count = 0;
                while (rows.next()) {
                    assertEquals(count++, rows.getLong("number"));
                }
                assertEquals(200, count);
            }
            try (PreparedStatement read = connection
                    .prepareStatement("SELECT data FROM facts WHERE code = ? /* c=my-quotes,d=900,cluster=1 */")) {
                read.setString(1, "k");
                try (ResultSet rows = read.executeQuery()) {
                    assertTrue(rows.next());
                }
            }
            try (ResultSet tables = connection.getMetaData().getTables(null, null, "%", null)) {
                assertTrue(tables.next());
                assertEquals("facts", tables.getString("TABLE_NAME"));
            }
            // the driver sends unknown properties as headers, so statements need no comment
            try (Connection withHeaders = DriverManager.getConnection("jdbc:arrow-flight-sql://127.0.0.1:"
                    + fixture.location().getUri().getPort() + "/?useEncryption=false&c=history&cluster=1");
                    Statement read = withHeaders.createStatement();
                    ResultSet rows = read.executeQuery("SELECT data FROM facts WHERE code = 'k'")) {
                assertTrue(rows.next());
            }
            assertEquals("holdmux", connection.getMetaData().getDatabaseProductName());
        }
    }
}
