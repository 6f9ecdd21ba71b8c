package holdmux.flight;

import holdmux.core.Admission;
import holdmux.core.Clock;
import holdmux.statement.SqlState;
import holdmux.statement.Statement;
import holdmux.statement.StatementException;
import holdmux.statement.ChunkedText;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The figures of a request ({@code id}, {@code c}, {@code d}, {@code cluster} and the rest): from the statement's closing
 * comment, from headers of the same names, or from both where they agree. Makes the statement of them that the rest of
 * the program knows, with the figures in its comment. No I/O and no clock.
 */
final class RequestAttributes {
    /** The names that a header may carry. */
    static final List<String> NAMES = List.of("id", "c", "d", "cluster", "after", "r");
    /** A comment at the end, and a semicolon that some tools put behind; no star within, so that it is the last one. */
    private static final Pattern TRAILING_COMMENT = Pattern.compile("/\\*([^*]*)\\*/[\\s;]*\\z");
    private static final Pattern TRAILING_SEMICOLONS = Pattern.compile("[\\s;]*\\z");

    private RequestAttributes() {}

    /**
     * The statement that a text and headers stand for.
     *
     * @param header the value of a header by its name, null for none
     * @param freshId for a request that names none: a text that is prepared once and run often cannot carry a fresh one
     * @throws StatementException where something is missing, not well-formed, or told twice and differently
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
                        "the comment and the headers differ in " + name);
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
        return Statement.parse(ChunkedText.of(bytes, bytes.length));
    }

    /** What a header holds goes into the comment, so it must not end it or begin another figure. */
    private static String checkHeaderValue(String header) throws StatementException {
        String value = header.strip();
        if (value.isEmpty() || value.chars().anyMatch(c -> c <= ' ' || c > '~' || c == ',' || c == '*' || c == '=')) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE, "a header's value is not well-formed");
        }
        return value;
    }

    private static Map<String, String> parseComment(String comment) throws StatementException {
        Map<String, String> attributes = new LinkedHashMap<>();
        for (String pair : comment.split(",", -1)) {
            int equals = pair.indexOf('=');
            if (equals < 0) {
                throw new StatementException(SqlState.SYNTAX_ERROR, "the comment must hold name=value pairs");
            }
            if (attributes.put(pair.substring(0, equals).strip(), pair.substring(equals + 1).strip()) != null) {
                throw new StatementException(SqlState.SYNTAX_ERROR, "the comment names a value twice");
            }
        }
        return attributes;
    }
}
