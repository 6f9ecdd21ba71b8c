package holdmux.flight;

import holdmux.statement.SqlState;
import holdmux.statement.StatementException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * The text of a prepared statement, split at its parameters: {@code ?} in order of appearance, or {@code $1},
 * {@code $2} … by number, outside quotes and comments. Bound values are substituted as literals, so that a server of
 * either protocol receives one simple statement. Does no I/O and reads no clock.
 */
final class SqlTemplate {
    /** More parameters than any tool binds; PostgreSQL's own limit is 65,535. */
    private static final int MAX_PARAMETERS = 1_000;

    /** The text around the placeholders (one fragment more than placeholders), and the index of the value for each placeholder. */
    private final List<String> fragments = new ArrayList<>();
    private final List<Integer> parameterIndexes = new ArrayList<>();
    private int parameterCount;

    SqlTemplate(String sql) throws StatementException {
        int fragmentStart = 0;
        for (int i = 0; i < sql.length(); i++) {
            char character = sql.charAt(i);
            if (character == '\'' || character == '"') {
                i = findEnd(sql, String.valueOf(character), i + 1);
            } else if (sql.startsWith("/*", i)) {
                i = findEnd(sql, "*/", i + 2) + 1;
            } else if (sql.startsWith("--", i)) {
                i = findEnd(sql, "\n", i + 2);
            } else if (character == '?') {
                fragments.add(sql.substring(fragmentStart, i));
                parameterIndexes.add(parameterIndexes.size());
                fragmentStart = i + 1;
            } else if (character == '$' && i + 1 < sql.length() && Character.isDigit(sql.charAt(i + 1))) {
                int numberEnd = i + 1;
                while (numberEnd < sql.length() && numberEnd < i + 5 && Character.isDigit(sql.charAt(numberEnd))) {
                    numberEnd++;
                }
                fragments.add(sql.substring(fragmentStart, i));
                parameterIndexes.add(Integer.parseInt(sql.substring(i + 1, numberEnd)) - 1);
                fragmentStart = numberEnd;
                i = numberEnd - 1;
            }
        }
        fragments.add(sql.substring(fragmentStart));
        for (int index : parameterIndexes) {
            if (index < 0 || index >= MAX_PARAMETERS) {
                throw new StatementException(SqlState.PROGRAM_LIMIT_EXCEEDED, "parameter number out of range");
            }
            parameterCount = Math.max(parameterCount, index + 1);
        }
    }

    private static int findEnd(String sql, String delimiter, int from) {
        int index = sql.indexOf(delimiter, from);
        return index < 0 ? sql.length() : index;
    }

    /** Number of values to bind. */
    int parameterCount() {
        return parameterCount;
    }

    /** Returns the statement with its placeholders replaced by these literals. */
    String substitute(List<String> literals) throws StatementException {
        if (literals.size() != parameterCount) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE,
                    parameterCount + " parameters expected, " + literals.size() + " bound");
        }
        StringBuilder text = new StringBuilder(fragments.get(0));
        for (int i = 0; i < parameterIndexes.size(); i++) {
            text.append(literals.get(parameterIndexes.get(i))).append(fragments.get(i + 1));
        }
        return text.toString();
    }

    /** Formats a bound value as an SQL literal: text and bytes quoted, numbers and booleans unquoted. */
    static String toLiteral(Object value) throws StatementException {
        if (value == null) {
            return "NULL";
        } else if (value instanceof byte[] bytes) {
            return "'\\x" + HexFormat.of().formatHex(bytes) + "'";
        } else if (value instanceof Number || value instanceof Boolean) {
            return value.toString();
        }
        String text = value.toString();
        if (text.indexOf('\0') >= 0) {
            throw new StatementException(SqlState.CHARACTER_NOT_IN_REPERTOIRE, "a parameter contains a NUL character");
        }
        return "'" + text.replace("'", "''") + "'";
    }
}
