package holdmux.flight;

import holdmux.statement.SqlState;
import holdmux.statement.StatementException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * The parameters of a prepared statement: {@code ?} in the order they come, or {@code $1}, {@code $2} … by number; not
 * within quotes or comments. Bound values become literals, so that a server sees one simple statement whatever its
 * protocol. No I/O and no clock.
 */
final class Placeholders {
    /** More than this no tool binds; PostgreSQL's own limit is 65,535. */
    private static final int MOST = 1_000;

    /** The text between the parameters, one piece more than there are places; and which value stands at each. */
    private final List<String> pieces = new ArrayList<>();
    private final List<Integer> values = new ArrayList<>();
    private int count;

    Placeholders(String sql) throws StatementException {
        int from = 0;
        for (int i = 0; i < sql.length(); i++) {
            char here = sql.charAt(i);
            if (here == '\'' || here == '"') {
                i = end(sql, String.valueOf(here), i + 1);
            } else if (sql.startsWith("/*", i)) {
                i = end(sql, "*/", i + 2) + 1;
            } else if (sql.startsWith("--", i)) {
                i = end(sql, "\n", i + 2);
            } else if (here == '?') {
                pieces.add(sql.substring(from, i));
                values.add(values.size());
                from = i + 1;
            } else if (here == '$' && i + 1 < sql.length() && Character.isDigit(sql.charAt(i + 1))) {
                int to = i + 1;
                while (to < sql.length() && to < i + 5 && Character.isDigit(sql.charAt(to))) {
                    to++;
                }
                pieces.add(sql.substring(from, i));
                values.add(Integer.parseInt(sql.substring(i + 1, to)) - 1);
                from = to;
                i = to - 1;
            }
        }
        pieces.add(sql.substring(from));
        for (int value : values) {
            if (value < 0 || value >= MOST) {
                throw new StatementException(SqlState.PROGRAM_LIMIT_EXCEEDED, "no parameter can have that number");
            }
            count = Math.max(count, value + 1);
        }
    }

    private static int end(String sql, String mark, int from) {
        int at = sql.indexOf(mark, from);
        return at < 0 ? sql.length() : at;
    }

    /** How many values must be bound. */
    int count() {
        return count;
    }

    /** The text with these literals in its places. */
    String with(List<String> literals) throws StatementException {
        if (literals.size() != count) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE,
                    count + " parameters are needed, " + literals.size() + " are bound");
        }
        StringBuilder text = new StringBuilder(pieces.get(0));
        for (int i = 0; i < values.size(); i++) {
            text.append(literals.get(values.get(i))).append(pieces.get(i + 1));
        }
        return text.toString();
    }

    /** A bound value as a literal: text and bytes quoted, numbers and truth values as they are. */
    static String literal(Object value) throws StatementException {
        if (value == null) {
            return "NULL";
        } else if (value instanceof byte[] bytes) {
            return "'\\x" + HexFormat.of().formatHex(bytes) + "'";
        } else if (value instanceof Number || value instanceof Boolean) {
            return value.toString();
        }
        String text = value.toString();
        if (text.indexOf('\0') >= 0) {
            throw new StatementException(SqlState.CHARACTER_NOT_IN_REPERTOIRE, "a parameter holds a zero character");
        }
        return "'" + text.replace("'", "''") + "'";
    }
}
