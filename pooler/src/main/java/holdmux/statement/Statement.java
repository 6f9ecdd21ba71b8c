package holdmux.statement;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An SQL statement with the request's parameters as name=value pairs in its trailing comment. It is forwarded to servers
 * unchanged except for {@code d}, which is replaced by the time that this pooler will wait for the answer.
 */
public final class Statement {
    /** Longest literal accepted: a value of 4 MiB in hexadecimal, after its {@code \x} prefix. */
    public static final int MAX_LITERAL_BYTES = 2 + 2 * 4 * 1024 * 1024;
    /** Longest key accepted, which is the first literal: keys are short codes. */
    private static final int MAX_KEY_BYTES = 64 * 1024;
    /** Longest comment accepted: its few short values fit many times over. */
    private static final int MAX_COMMENT_BYTES = 1_024;
    /** Longest id accepted; the longest ones in use are those of trace contexts, with 55 characters. */
    private static final int MAX_ID_LENGTH = 128;
    /** Characters of an id besides letters and digits. */
    private static final String ID_PUNCTUATION = "._:+/@~-";
    /** Most digits of a number: one more would not always fit. */
    private static final int MAX_DIGITS = 18;

    /** Longest statement accepted: the longest literal, the longest key, and the rest of the text with its comment. */
    public static final int MAX_BYTES = MAX_LITERAL_BYTES + MAX_KEY_BYTES + 2 * MAX_COMMENT_BYTES;

    /** Whether this is an INSERT rather than a SELECT. */
    public final boolean write;
    /** The client's id of the request ({@code id}); no other request has the same. */
    public final String id;
    /** The first quoted literal, which identifies the session in request classes that have sessions. */
    public final String key;
    /** Name of the request class ({@code c}). */
    public final String className;
    /** Whether the client marked the request as a retry ({@code r=1}). */
    public final boolean retry;
    /** How long the client waits for the answer ({@code d}). */
    public final long timeoutMs;
    /** Number of the server group ({@code cluster}). */
    public final int group;
    /** Position of the session's last write that the client carries ({@code after}), in Unix milliseconds; 0 for none. */
    public final long positionMs;
    private final ChunkedText text;
    /** Indices of the value of {@code d} in the text. */
    private final int timeoutFrom, timeoutTo;

    private Statement(ChunkedText text, boolean write, String key, Map<String, String> values, int timeoutFrom, int timeoutTo)
            throws StatementException {
        this.text = text;
        this.write = write;
        this.key = key;
        this.timeoutFrom = timeoutFrom;
        this.timeoutTo = timeoutTo;
        id = required(values, "id");
        if (id.length() > MAX_ID_LENGTH || !consistsOf(id, ID_PUNCTUATION)) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE, "the comment's id is not a valid id");
        }
        className = required(values, "c");
        timeoutMs = parseNumber(values, "d", 1, 3_600_000); // one hour: no client waits longer, and sums cannot overflow
        group = (int) parseNumber(values, "cluster", 0, 65_535); // a 16-bit number in the decision module and on the simulator's wire
        positionMs = values.containsKey("after") ? parseNumber(values, "after", 0, Long.MAX_VALUE / 2_000_000) : 0;
        retry = values.containsKey("r") && parseNumber(values, "r", 0, Integer.MAX_VALUE) == 1;
    }

    /**
     * Parses a statement in one of the two forms of the protocol, see {@link ProtocolForm}. The text must be UTF-8; the
     * statement keeps a reference to it.
     */
    public static Statement parse(ChunkedText text) throws StatementException {
        return parse(text, true);
    }

    /** Parses a statement like {@link #parse(ChunkedText)}, but about any table and columns. */
    public static Statement parseAnyTable(ChunkedText text) throws StatementException {
        return parse(text, false);
    }

    private static Statement parse(ChunkedText text, boolean inProtocolForm) throws StatementException {
        if (!text.isUtf8()) {
            throw new StatementException(SqlState.CHARACTER_NOT_IN_REPERTOIRE, "the statement is not UTF-8");
        }
        int length = text.length;
        boolean write = startsWith(text, "INSERT ");
        if (!write && !startsWith(text, "SELECT ")) {
            throw new StatementException(SqlState.SYNTAX_ERROR, "only SELECT and INSERT are supported");
        }
        if (text.indexOfOrEnd('\0', 0) < text.length) {
            throw new StatementException(SqlState.SYNTAX_ERROR, "the statement contains a zero byte");
        }
        ProtocolForm form = inProtocolForm ? new ProtocolForm(text, write) : null;
        String key = null;
        int commentFrom = -1;
        for (int i = 0; i < length && commentFrom < 0; i++) {
            byte current = text.byteAt(i);
            if (current == '\'') {
                int end = closingQuote(text, i + 1);
                if (end - i - 1 > (key == null ? MAX_KEY_BYTES : MAX_LITERAL_BYTES)) {
                    throw new StatementException(SqlState.PROGRAM_LIMIT_EXCEEDED,
                            "a literal is too long: at most 64 KiB for the key, 4 MiB for a value");
                }
                key = key != null ? key : text.substring(i + 1, end);
                if (form != null) {
                    form.checkLiteral(i, end);
                }
                i = end;
            } else if (current == ';') {
                throw new StatementException(SqlState.SYNTAX_ERROR, "only one statement per query is allowed");
            } else if (current == '/' && i + 1 < length && text.byteAt(i + 1) == '*') {
                commentFrom = i + 2;
            }
        }
        if (form != null && commentFrom >= 0) {
            form.checkEnd(commentFrom - 2);
        }
        int commentTo = length - 2;
        if (key == null || commentFrom < 0 || commentTo < commentFrom
                || text.byteAt(commentTo) != '*' || text.byteAt(commentTo + 1) != '/') {
            throw new StatementException(SqlState.SYNTAX_ERROR, "the statement must contain a quoted key and end in a comment");
        }
        return parseComment(text, write, key, commentFrom, commentTo);
    }

    private static Statement parseComment(ChunkedText text, boolean write, String key, int from, int to)
            throws StatementException {
        if (to - from > MAX_COMMENT_BYTES) {
            throw new StatementException(SqlState.PROGRAM_LIMIT_EXCEEDED, "the comment is too long");
        }
        // one char per byte, so that indices in the string are indices in the text
        StringBuilder chars = new StringBuilder();
        for (int i = from; i < to; i++) {
            chars.append((char) (text.byteAt(i) & 0xff));
        }
        String comment = chars.toString();
        if (comment.indexOf('*') >= 0) {
            throw new StatementException(SqlState.SYNTAX_ERROR, "the comment must be the end of the statement");
        }
        Map<String, String> values = new HashMap<>();
        int timeoutFrom = 0;
        int timeoutTo = 0;
        for (int at = 0; at <= comment.length();) {
            int comma = comment.indexOf(',', at);
            int end = comma < 0 ? comment.length() : comma;
            int equals = comment.indexOf('=', at);
            if (equals < 0 || equals > end) {
                throw new StatementException(SqlState.SYNTAX_ERROR, "the comment must consist of name=value pairs");
            }
            String name = comment.substring(at, equals).strip();
            String value = comment.substring(equals + 1, end).strip();
            if (name.isEmpty() || !consistsOf(name, "_")) {
                throw new StatementException(SqlState.SYNTAX_ERROR, "the comment contains an invalid attribute name");
            }
            if (values.put(name, value) != null) {
                throw new StatementException(SqlState.SYNTAX_ERROR, "the comment gives an attribute twice");
            }
            if (name.equals("d")) {
                timeoutFrom = from + comment.indexOf(value, equals + 1);
                timeoutTo = timeoutFrom + value.length();
            }
            at = end + 1;
        }
        return new Statement(text, write, key, values, timeoutFrom, timeoutTo);
    }

    /** The index of the quote that ends a literal; a doubled quote is part of the literal. */
    private static int closingQuote(ChunkedText text, int from) throws StatementException {
        for (int i = text.indexOfOrEnd('\'', from); i < text.length; i = text.indexOfOrEnd('\'', i + 2)) {
            if (i + 1 == text.length || text.byteAt(i + 1) != '\'') {
                return i;
            }
        }
        throw new StatementException(SqlState.SYNTAX_ERROR, "unterminated quoted literal");
    }

    private static boolean startsWith(ChunkedText text, String keyword) {
        return text.length >= keyword.length() && text.substring(0, keyword.length()).equalsIgnoreCase(keyword);
    }

    private static String required(Map<String, String> values, String name) throws StatementException {
        String value = values.get(name);
        if (value == null || value.isEmpty()) {
            throw new StatementException(SqlState.SYNTAX_ERROR, "the comment must contain a value for " + name);
        }
        return value;
    }

    /** Whether a text consists of ASCII letters, digits and these characters. */
    private static boolean consistsOf(String text, String others) {
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            boolean letterOrDigit = character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z' || isDigit(character);
            if (!letterOrDigit && others.indexOf(character) < 0) {
                return false;
            }
        }
        return true;
    }

    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }

    /** Whether a text is a decimal number with no sign and no leading zero. */
    private static boolean isNumber(String text) {
        if (text.length() > MAX_DIGITS || text.length() > 1 && text.charAt(0) == '0') {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (!isDigit(text.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    private static long parseNumber(Map<String, String> values, String name, long min, long max)
            throws StatementException {
        String text = required(values, name);
        if (isNumber(text)) {
            long value = Long.parseLong(text);
            if (value >= min && value <= max) {
                return value;
            }
        }
        throw new StatementException(SqlState.INVALID_PARAMETER_VALUE, "the comment's " + name + " is not a valid number");
    }

    /** The session number: a hash of the key, so that the same key always gives the same number. */
    public long session() {
        long hash = 0xcbf29ce484222325L; // FNV-1a
        for (byte b : key.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
        }
        return hash == 0 ? 1 : hash; // 0 stands for no session
    }

    /** Length of the text in bytes. */
    public int length() {
        return text.length;
    }

    /** Copies the text, as it was parsed, to the start of an array. */
    public void copyTo(byte[] bytes) {
        ByteBuffer copy = ByteBuffer.wrap(bytes);
        text.views(0, text.length).forEach(copy::put);
    }

    /** The text in front of the value of {@code d}, in pieces; {@code d} is in the closing comment. */
    public List<ByteBuffer> textBeforeTimeout() {
        return text.views(0, timeoutFrom);
    }

    /** The text behind the value of {@code d}, in pieces. */
    public List<ByteBuffer> textAfterTimeout() {
        return text.views(timeoutTo, text.length);
    }

    /** The text to send to a server, in pieces, with {@code d} set to the given limit. */
    public List<ByteBuffer> text(long limitMs) {
        List<ByteBuffer> parts = new ArrayList<>();
        parts.addAll(textBeforeTimeout());
        parts.add(ByteBuffer.wrap(Long.toString(limitMs).getBytes(StandardCharsets.US_ASCII)));
        parts.addAll(textAfterTimeout());
        return parts;
    }
}
