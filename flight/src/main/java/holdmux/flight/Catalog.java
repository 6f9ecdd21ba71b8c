package holdmux.flight;

import holdmux.core.Counters;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.apache.arrow.flight.FlightProducer.ServerStreamListener;
import org.apache.arrow.flight.sql.FlightSqlProducer;
import org.apache.arrow.flight.sql.SqlInfoBuilder;
import org.apache.arrow.flight.sql.impl.FlightSql.CommandGetDbSchemas;
import org.apache.arrow.flight.sql.impl.FlightSql.CommandGetSqlInfo;
import org.apache.arrow.flight.sql.impl.FlightSql.CommandGetTables;
import org.apache.arrow.flight.sql.impl.FlightSql.SqlSupportedTransaction;
import org.apache.arrow.memory.ArrowBuf;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.VarBinaryVector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.dictionary.DictionaryProvider;
import org.apache.arrow.vector.ipc.message.IpcOption;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.Schema;

/** Answers metadata commands: the server's capabilities (SqlInfo) and a catalog with a single table. */
final class Catalog {
    private static final String CATALOG = "crm", SCHEMA = "public", TABLE = "facts", TYPE = "TABLE";
    private static final Schema FACTS_SCHEMA = new Schema(List.of(Field.notNullable("code", ArrowType.Utf8.INSTANCE),
            Field.nullable("data", ArrowType.Binary.INSTANCE)));
    static final Schema STATS_SCHEMA = new Schema(List.of(Field.notNullable("counter", ArrowType.Utf8.INSTANCE),
            Field.notNullable("value", ArrowType.Utf8.INSTANCE)));

    private final BufferAllocator allocator;
    private final SqlInfoBuilder info;

    Catalog(BufferAllocator allocator, String version) {
        this.allocator = allocator;
        info = new SqlInfoBuilder().withFlightSqlServerName("holdmux").withFlightSqlServerVersion(version)
                .withFlightSqlServerArrowVersion("18.3.0").withFlightSqlServerReadOnly(false)
                .withFlightSqlServerSql(true).withFlightSqlServerSubstrait(false).withFlightSqlServerCancel(false)
                .withFlightSqlServerTransaction(SqlSupportedTransaction.SQL_SUPPORTED_TRANSACTION_NONE)
                .withFlightSqlServerBulkIngestion(false).withFlightSqlServerBulkIngestionTransaction(false)
                .withSqlTransactionsSupported(false).withSqlSavepointsSupported(false)
                .withSqlBatchUpdatesSupported(false).withSqlNamedParametersSupported(false)
                .withSqlMaxStatementLength(FlightLimits.MAX_STATEMENT_BYTES).withSqlIdentifierQuoteChar("\"")
                .withSqlSearchStringEscape("\\").withSqlDdlCatalog(false).withSqlDdlSchema(false).withSqlDdlTable(false);
    }

    List<byte[]> sqlInfo(CommandGetSqlInfo command) {
        MessageCollector collector = new MessageCollector();
        info.send(command.getInfoList(), collector);
        return collector.messages;
    }

    List<byte[]> catalogs() {
        return toMessages(FlightSqlProducer.Schemas.GET_CATALOGS_SCHEMA, List.of(List.of(CATALOG)));
    }

    List<byte[]> schemas(CommandGetDbSchemas command) {
        boolean matches = (!command.hasCatalog() || command.getCatalog().equals(CATALOG))
                && (!command.hasDbSchemaFilterPattern() || matchesLike(command.getDbSchemaFilterPattern(), SCHEMA));
        return toMessages(FlightSqlProducer.Schemas.GET_SCHEMAS_SCHEMA, matches ? List.of(List.of(CATALOG, SCHEMA)) : List.of());
    }

    List<byte[]> tables(CommandGetTables command) {
        boolean matches = (!command.hasCatalog() || command.getCatalog().equals(CATALOG))
                && (!command.hasDbSchemaFilterPattern() || matchesLike(command.getDbSchemaFilterPattern(), SCHEMA))
                && (!command.hasTableNameFilterPattern() || matchesLike(command.getTableNameFilterPattern(), TABLE))
                && (command.getTableTypesCount() == 0 || command.getTableTypesList().contains(TYPE));
        List<Object> row = new ArrayList<>(List.of(CATALOG, SCHEMA, TABLE, TYPE));
        if (command.getIncludeSchema()) {
            row.add(ArrowIpc.encapsulated(FACTS_SCHEMA).toByteArray());
        }
        return toMessages(tablesSchema(command), matches ? List.of(row) : List.of());
    }

    static Schema tablesSchema(CommandGetTables command) {
        return command.getIncludeSchema() ? FlightSqlProducer.Schemas.GET_TABLES_SCHEMA
                : FlightSqlProducer.Schemas.GET_TABLES_SCHEMA_NO_SCHEMA;
    }

    List<byte[]> tableTypes() {
        return toMessages(FlightSqlProducer.Schemas.GET_TABLE_TYPES_SCHEMA, List.of(List.of(TYPE)));
    }

    /** An empty result, for metadata that does not exist here, such as keys and references. */
    List<byte[]> emptyTable(Schema schema) {
        return toMessages(schema, List.of());
    }

    /** The counters, one per row. */
    List<byte[]> stats(Counters counters) {
        List<List<?>> rows = new ArrayList<>();
        counters.snapshot().forEach((name, value) -> rows.add(List.of(name, value)));
        return toMessages(STATS_SCHEMA, rows);
    }

    private List<byte[]> toMessages(Schema schema, List<? extends List<?>> rows) {
        try (VectorSchemaRoot root = VectorSchemaRoot.create(schema, allocator)) {
            root.allocateNew();
            for (int row = 0; row < rows.size(); row++) {
                for (int column = 0; column < rows.get(row).size(); column++) {
                    setValue(root.getVector(column), row, rows.get(row).get(column));
                }
            }
            root.setRowCount(rows.size());
            return List.of(ArrowIpc.toMessage(schema), ArrowIpc.toMessage(root));
        }
    }

    private static void setValue(FieldVector vector, int row, Object value) {
        if (value instanceof byte[] bytes) {
            ((VarBinaryVector) vector).setSafe(row, bytes);
        } else {
            ((VarCharVector) vector).setSafe(row, value.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    /** SQL LIKE without escapes; the regular expression is affordable because the names matched are short. */
    private static boolean matchesLike(String pattern, String name) {
        StringBuilder regex = new StringBuilder();
        for (char c : pattern.toCharArray()) {
            regex.append(c == '%' ? ".*" : c == '_' ? "." : Pattern.quote(String.valueOf(c)));
        }
        return name.matches(regex.toString());
    }

    /** Collects what Arrow's {@link SqlInfoBuilder} sends, as serialized messages. */
    private static final class MessageCollector implements ServerStreamListener {
        private final List<byte[]> messages = new ArrayList<>();
        private VectorSchemaRoot root;

        @Override
        public void start(VectorSchemaRoot batchRoot, DictionaryProvider dictionaries, IpcOption option) {
            root = batchRoot;
            messages.add(ArrowIpc.toMessage(batchRoot.getSchema()));
        }

        @Override
        public void putNext() {
            messages.add(ArrowIpc.toMessage(root));
        }

        @Override
        public void putNext(ArrowBuf metadata) {
            metadata.close();
            putNext();
        }

        @Override
        public void putMetadata(ArrowBuf metadata) {
            metadata.close();
        }

        @Override
        public boolean isReady() {
            return true;
        }

        @Override
        public boolean isCancelled() {
            return false;
        }

        @Override
        public void setOnCancelHandler(Runnable handler) {
            // the result is built synchronously, so there is nothing to cancel
        }

        @Override
        public void error(Throwable error) {
            throw new IllegalStateException(error);
        }

        @Override
        public void completed() {
            // all messages have been collected
        }
    }
}
