package holdmux.flight;

import holdmux.core.Admission;
import holdmux.core.Clock;
import holdmux.statement.ChunkedText;
import holdmux.statement.SqlState;
import holdmux.statement.Statement;
import holdmux.statement.StatementException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The attributes of a request ({@code id}, {@code c}, {@code d}, {@code cluster} and the rest). They come from the
 * statement's trailing comment, from call headers of the same names, or from both if they agree. The resulting statement
 * has all of them in its comment, as on the PostgreSQL front. Does no I/O and reads no clock.
 */
final class RequestAttributes {
    /** The attributes that may also be given as call headers. */
    static final List<String> NAMES = List.of("id", "c", "d", "cluster", "after", "r");
    /** A trailing comment and the semicolon that some tools append. It may not contain a star, so that only the last comment matches. */
    private static final Pattern TRAILING_COMMENT = Pattern.compile("/\\*([^*]*)\\*/[\\s;]*\\z");
    private static final Pattern TRAILING_SEMICOLONS = Pattern.compile("[\\s;]*\\z");

    private RequestAttributes() {}

    /**
     * Parses a statement and merges the attributes of its comment and of the call headers.
     *
     * @param header looks up a header by name; null if absent
     * @param generatedId the id of a request that gives none: a statement that is prepared once and run often cannot
     *     carry a new id for each run
     * @throws StatementException if an attribute is missing, malformed, or differs between comment and header
     */
    static Statement toStatement(String sql, Function<String, String> header, String generatedId, Admission admission)
            throws StatementException {
        Matcher comment = TRAILING_COMMENT.matcher(sql);
        boolean hasComment = comment.find();
        Map<String, String> attributes = hasComment ? parseComment(comment.group(1)) : new LinkedHashMap<>();
        String body = hasComment ? sql.substring(0, comment.start()) : TRAILING_SEMICOLONS.matcher(sql).replaceFirst("");
        for (String name : NAMES) {
            String headerValue = header.apply(name);
            String commentValue = headerValue == null ? null : attributes.putIfAbsent(name, checkHeaderValue(headerValue));
            if (commentValue != null && !commentValue.equals(headerValue.strip())) {
                throw new StatementException(SqlState.INVALID_PARAMETER_VALUE,
                        "comment and call header differ in attribute " + name);
            }
        }
        attributes.putIfAbsent("id", generatedId);
        if (!attributes.containsKey("d") && attributes.containsKey("c")) {
            long deadlineNs = admission.requestClass(attributes.get("c")).deadlineNs();
            attributes.put("d", Long.toString(Math.max(1, deadlineNs / Clock.MS)));
        }
        StringBuilder text = new StringBuilder(body.stripTrailing()).append(" /* ");
        attributes.forEach((name, value) -> text.append(name).append('=').append(value).append(','));
        if (!attributes.isEmpty()) {
            text.setLength(text.length() - 1);
        }
        byte[] bytes = text.append(" */").toString().getBytes(StandardCharsets.UTF_8);
        return Statement.parseAnyTable(ChunkedText.of(bytes, bytes.length));
    }

    /** Header values are written into the comment, so they must not end it or start another attribute. */
    private static String checkHeaderValue(String header) throws StatementException {
        String value = header.strip();
        if (value.isEmpty() || value.chars().anyMatch(c -> c <= ' ' || c > '~' || c == ',' || c == '*' || c == '=')) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE, "malformed value in a call header");
        }
        return value;
    }

    private static Map<String, String> parseComment(String comment) throws StatementException {
        Map<String, String> attributes = new LinkedHashMap<>();
        for (String pair : comment.split(",", -1)) {
            int equals = pair.indexOf('=');
            if (equals < 0) {
                throw new StatementException(SqlState.SYNTAX_ERROR, "the comment must consist of name=value pairs");
            }
            if (attributes.put(pair.substring(0, equals).strip(), pair.substring(equals + 1).strip()) != null) {
                throw new StatementException(SqlState.SYNTAX_ERROR, "the comment gives an attribute twice");
            }
        }
        return attributes;
    }
}
