package holdmux.flight;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * Caches the schema each statement's table had when it was last served. Tools ask for a schema before they fetch, but
 * planning contacts no server; the table itself always carries its actual schema. Statements that differ only in literals
 * share an entry.
 */
final class SchemaCache {
    /** Tools repeat a few statements; beyond this the least recently used entry is evicted. */
    private static final int MAX_ENTRIES = 256;
    private static final Pattern VARIABLE_PARTS = Pattern.compile("'(?:[^']|'')*'|/\\*[^*]*\\*/|\\b\\d+\\b|\\s+");
    private static final int MAX_KEY_LENGTH = 4_096;

    private final Map<String, Schema> cached = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Schema> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    /** Returns the schema for a statement; null if no such statement has been served. */
    synchronized Schema cached(String sql) {
        return cached.get(cacheKey(sql));
    }

    synchronized void put(String sql, Schema schema) {
        String key = cacheKey(sql);
        if (key.length() <= MAX_KEY_LENGTH) {
            cached.put(key, schema);
        }
    }

    private static String cacheKey(String sql) {
        return VARIABLE_PARTS.matcher(sql).replaceAll("?");
    }
}
