package holdmux.pg;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * One statement with the request's figures in its closing comment. It goes on to servers as it came, but for
 * {@code d}, which says there how long this pooler will wait.
 */
final class Statement {
    /** Longest literal taken: a value of 64 KiB in hexadecimal behind its {@code \x}. */
    private static final int MOST_LITERAL = 2 + 2 * 64 * 1024;
    /** Longest comment read: its few short values fit many times over. */
    private static final int MOST_COMMENT = 1_024;

    final boolean write;
    /** The first quoted literal: the key, which names the session in classes that have sessions. */
    final String key;
    final String className;
    final boolean retry;
    final long waitMs;
    final int group;
    /** The carried position of the session's last write in Unix milliseconds; 0 for none. */
    final long afterMs;
    private final byte[] text;
    private final int length;
    /** Where the value of d lies in the text. */
    private final int waitFrom, waitTo;

    private Statement(byte[] text, int length, boolean write, String key, Map<String, String> values, int waitFrom, int waitTo)
            throws ProtocolException {
        this.text = text;
        this.length = length;
        this.write = write;
        this.key = key;
        this.waitFrom = waitFrom;
        this.waitTo = waitTo;
        required(values, "id");
        className = required(values, "c");
        waitMs = number(values, "d", 1, 3_600_000); // an hour: no client waits longer, and sums cannot overflow
        group = (int) number(values, "cluster", 0, 65_535); // the module's numbering on the simulator's wire
        afterMs = values.containsKey("after") ? number(values, "after", 0, Long.MAX_VALUE / 2_000_000) : 0;
        retry = values.getOrDefault("r", "0").equals("1");
    }

    /** Parses a statement in UTF-8, the first {@code length} bytes of the text, which it keeps. */
    static Statement parse(byte[] text, int length) throws ProtocolException {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(text, 0, length));
        } catch (CharacterCodingException e) {
            throw ProtocolException.rejected(SqlState.CHARACTER_NOT_IN_REPERTOIRE, "the statement is not UTF-8");
        }
        boolean write = startsWith(text, length, "INSERT ");
        if (!write && !startsWith(text, length, "SELECT ")) {
            throw ProtocolException.rejected(SqlState.SYNTAX_ERROR, "only SELECT and INSERT are served here");
        }
        String key = null;
        int from = -1;
        for (int i = 0; i < length && from < 0; i++) {
            if (text[i] == '\'') {
                int end = closingQuote(text, length, i + 1);
                if (end - i - 1 > MOST_LITERAL) {
                    throw ProtocolException.rejected(SqlState.PROGRAM_LIMIT_EXCEEDED, "a value over 64 KiB");
                }
                key = key != null ? key : new String(text, i + 1, end - i - 1, StandardCharsets.UTF_8);
                i = end;
            } else if (text[i] == ';') {
                throw ProtocolException.rejected(SqlState.SYNTAX_ERROR, "one statement per query");
            } else if (text[i] == '/' && i + 1 < length && text[i + 1] == '*') {
                from = i + 2;
            }
        }
        int to = length - 2;
        if (key == null || from < 0 || to < from || text[to] != '*' || text[to + 1] != '/') {
            throw ProtocolException.rejected(SqlState.SYNTAX_ERROR, "the statement must name a key and end in a comment");
        }
        return parseComment(text, length, write, key, from, to);
    }

    private static Statement parseComment(byte[] text, int length, boolean write, String key, int from, int to)
            throws ProtocolException {
        if (to - from > MOST_COMMENT) {
            throw ProtocolException.rejected(SqlState.PROGRAM_LIMIT_EXCEEDED, "the comment is too long");
        }
        // one char a byte, so that places in the string are places in the text
        String comment = new String(text, from, to - from, StandardCharsets.ISO_8859_1);
        Map<String, String> values = new HashMap<>();
        int waitFrom = 0;
        int waitTo = 0;
        for (int at = 0; at <= comment.length();) {
            int comma = comment.indexOf(',', at);
            int end = comma < 0 ? comment.length() : comma;
            int equals = comment.indexOf('=', at);
            if (equals < 0 || equals > end) {
                throw ProtocolException.rejected(SqlState.SYNTAX_ERROR, "the comment must hold name=value pairs");
            }
            String name = comment.substring(at, equals).strip();
            String value = comment.substring(equals + 1, end).strip();
            if (values.put(name, value) != null) {
                throw ProtocolException.rejected(SqlState.SYNTAX_ERROR, "the comment names a value twice");
            }
            if (name.equals("d")) {
                waitFrom = from + comment.indexOf(value, equals + 1);
                waitTo = waitFrom + value.length();
            }
            at = end + 1;
        }
        return new Statement(text, length, write, key, values, waitFrom, waitTo);
    }

    /** The place of the quote that ends a literal; a doubled quote is part of it. */
    private static int closingQuote(byte[] text, int length, int from) throws ProtocolException {
        for (int i = from; i < length; i++) {
            if (text[i] == '\'') {
                if (i + 1 == length || text[i + 1] != '\'') {
                    return i;
                }
                i++;
            }
        }
        throw ProtocolException.rejected(SqlState.SYNTAX_ERROR, "a literal does not end");
    }

    private static boolean startsWith(byte[] text, int length, String word) {
        return length >= word.length()
                && new String(text, 0, word.length(), StandardCharsets.ISO_8859_1).equalsIgnoreCase(word);
    }

    private static String required(Map<String, String> values, String name) throws ProtocolException {
        String value = values.get(name);
        if (value == null || value.isEmpty()) {
            throw ProtocolException.rejected(SqlState.SYNTAX_ERROR, "the comment must hold " + name);
        }
        return value;
    }

    private static long number(Map<String, String> values, String name, long least, long most)
            throws ProtocolException {
        try {
            long value = Long.parseLong(required(values, name));
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw ProtocolException.rejected(SqlState.INVALID_PARAMETER_VALUE, "the comment's " + name + " is no valid number");
    }

    /** The session that the key names; the same key gives the same number. */
    long session() {
        long hash = 0xcbf29ce484222325L; // FNV-1a
        for (byte b : key.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
        }
        return hash == 0 ? 1 : hash; // 0 stands for no session
    }

    /** Composes the query for a server that is given this long. */
    void writeTo(Message message, long limitMs) {
        byte[] limit = Long.toString(limitMs).getBytes(StandardCharsets.US_ASCII);
        message.begin('Q').put(text, 0, waitFrom).put(limit, 0, limit.length)
                .put(text, waitTo, length - waitTo).put('\0').end();
    }
}
