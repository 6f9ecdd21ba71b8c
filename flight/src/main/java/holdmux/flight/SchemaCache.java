package holdmux.flight;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * How the tables of statements looked when they were last served. Planning reaches no server, and tools ask for a schema
 * before they fetch; the table itself always carries its own. Statements that differ in literals alone are one.
 */
final class SchemaCache {
    /** Tools repeat a few shapes; beyond that the one not used for longest goes. */
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

    /** Null where no such statement has been served. */
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
