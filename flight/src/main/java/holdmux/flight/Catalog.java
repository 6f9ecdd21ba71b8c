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

/** What tools ask before they send statements: what this front offers, and the one table there is. */
final class Catalog {
    private static final String CATALOG = "crm", SCHEMA = "public", TABLE = "facts", TYPE = "TABLE";
    private static final Schema FACTS = new Schema(List.of(Field.notNullable("code", ArrowType.Utf8.INSTANCE),
            Field.nullable("data", ArrowType.Binary.INSTANCE)));
    static final Schema STATS = new Schema(List.of(Field.notNullable("counter", ArrowType.Utf8.INSTANCE),
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
                .withSqlMaxStatementLength(FlightLimits.STATEMENT_BYTES).withSqlIdentifierQuoteChar("\"")
                .withSqlSearchStringEscape("\\").withSqlDdlCatalog(false).withSqlDdlSchema(false).withSqlDdlTable(false);
    }

    List<byte[]> sqlInfo(CommandGetSqlInfo asked) {
        Frames frames = new Frames();
        info.send(asked.getInfoList(), frames);
        return frames.made;
    }

    List<byte[]> catalogs() {
        return table(FlightSqlProducer.Schemas.GET_CATALOGS_SCHEMA, List.of(List.of(CATALOG)));
    }

    List<byte[]> schemas(CommandGetDbSchemas asked) {
        boolean fits = (!asked.hasCatalog() || asked.getCatalog().equals(CATALOG))
                && (!asked.hasDbSchemaFilterPattern() || like(asked.getDbSchemaFilterPattern(), SCHEMA));
        return table(FlightSqlProducer.Schemas.GET_SCHEMAS_SCHEMA, fits ? List.of(List.of(CATALOG, SCHEMA)) : List.of());
    }

    List<byte[]> tables(CommandGetTables asked) {
        boolean fits = (!asked.hasCatalog() || asked.getCatalog().equals(CATALOG))
                && (!asked.hasDbSchemaFilterPattern() || like(asked.getDbSchemaFilterPattern(), SCHEMA))
                && (!asked.hasTableNameFilterPattern() || like(asked.getTableNameFilterPattern(), TABLE))
                && (asked.getTableTypesCount() == 0 || asked.getTableTypesList().contains(TYPE));
        List<Object> row = new ArrayList<>(List.of(CATALOG, SCHEMA, TABLE, TYPE));
        if (asked.getIncludeSchema()) {
            row.add(Ipc.encapsulated(FACTS).toByteArray());
        }
        return table(tablesSchema(asked), fits ? List.of(row) : List.of());
    }

    static Schema tablesSchema(CommandGetTables asked) {
        return asked.getIncludeSchema() ? FlightSqlProducer.Schemas.GET_TABLES_SCHEMA
                : FlightSqlProducer.Schemas.GET_TABLES_SCHEMA_NO_SCHEMA;
    }

    List<byte[]> tableTypes() {
        return table(FlightSqlProducer.Schemas.GET_TABLE_TYPES_SCHEMA, List.of(List.of(TYPE)));
    }

    /** A table without rows, of what there is none of here: keys, references. */
    List<byte[]> none(Schema schema) {
        return table(schema, List.of());
    }

    /** The counters, a row each. */
    List<byte[]> stats(Counters counters) {
        List<List<?>> rows = new ArrayList<>();
        counters.all().forEach((name, value) -> rows.add(List.of(name, value)));
        return table(STATS, rows);
    }

    private List<byte[]> table(Schema schema, List<? extends List<?>> rows) {
        try (VectorSchemaRoot root = VectorSchemaRoot.create(schema, allocator)) {
            root.allocateNew();
            for (int row = 0; row < rows.size(); row++) {
                for (int column = 0; column < rows.get(row).size(); column++) {
                    put(root.getVector(column), row, rows.get(row).get(column));
                }
            }
            root.setRowCount(rows.size());
            return List.of(Ipc.frame(schema), Ipc.frame(root));
        }
    }

    private static void put(FieldVector vector, int row, Object value) {
        if (value instanceof byte[] bytes) {
            ((VarBinaryVector) vector).setSafe(row, bytes);
        } else {
            ((VarCharVector) vector).setSafe(row, value.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    /** SQL's LIKE, of names as short as these. */
    private static boolean like(String pattern, String name) {
        StringBuilder regex = new StringBuilder();
        for (char c : pattern.toCharArray()) {
            regex.append(c == '%' ? ".*" : c == '_' ? "." : Pattern.quote(String.valueOf(c)));
        }
        return name.matches(regex.toString());
    }

    /** Takes what Arrow's own builder sends, as messages. */
    private static final class Frames implements ServerStreamListener {
        private final List<byte[]> made = new ArrayList<>();
        private VectorSchemaRoot root;

        @Override
        public void start(VectorSchemaRoot from, DictionaryProvider dictionaries, IpcOption option) {
            root = from;
            made.add(Ipc.frame(from.getSchema()));
        }

        @Override
        public void putNext() {
            made.add(Ipc.frame(root));
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
            // nobody cancels what is made here at once
        }

        @Override
        public void error(Throwable error) {
            throw new IllegalStateException(error);
        }

        @Override
        public void completed() {
            // all is there
        }
    }
}
