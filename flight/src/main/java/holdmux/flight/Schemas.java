package holdmux.flight;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * How the tables of statements looked when they were last served. Planning reaches no server, and tools ask for a schema
 * before they fetch; the table itself always carries its own. Statements that differ in literals alone are one.
 */
final class Schemas {
    /** Tools repeat a few shapes; beyond that the one not used for longest goes. */
    private static final int MOST = 256;
    private static final Pattern LITERALS = Pattern.compile("'(?:[^']|'')*'|/\\*[^*]*\\*/|\\b\\d+\\b|\\s+");
    private static final int LONGEST = 4_096;

    private final Map<String, Schema> known = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Schema> eldest) {
            return size() > MOST;
        }
    };

    /** Null where no such statement has been served. */
    synchronized Schema known(String sql) {
        return known.get(shape(sql));
    }

    synchronized void served(String sql, Schema schema) {
        String shape = shape(sql);
        if (shape.length() <= LONGEST) {
            known.put(shape, schema);
        }
    }

    private static String shape(String sql) {
        return LITERALS.matcher(sql).replaceAll("?");
    }
}
