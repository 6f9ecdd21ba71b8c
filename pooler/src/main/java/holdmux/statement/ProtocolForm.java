package holdmux.statement;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * Checks that a statement has one of the two forms that clients of the PostgreSQL protocol send, apart from its comment:
 *
 * <pre>
 * SELECT data FROM facts WHERE code = 'KEY'
 * INSERT INTO facts (code, data) VALUES ('KEY', '\xHEX') RETURNING data
 * </pre>
 *
 * Keywords may have any case, and white space may stand between words. Servers void anything else, so it is never sent.
 */
final class ProtocolForm {
    /** What stands before the first literal, between the literals, and behind the last one; see {@link #matches}. */
    private static final List<String> SELECT = List.of("select_data_from_facts_where_code = ", " ");
    private static final List<String> INSERT =
            List.of("insert_into_facts ( code , data ) values ( ", " , ", " ) returning_data ");
    private static final int MAX_HEX_DIGIT = 'f';
    private static final boolean[] IS_HEX_DIGIT = new boolean[MAX_HEX_DIGIT + 1];

    static {
        for (char digit : "0123456789abcdefABCDEF".toCharArray()) {
            IS_HEX_DIGIT[digit] = true;
        }
    }

    private final ChunkedText text;
    private final List<String> gaps;
    private final boolean write;
    private int literals, gapStart;

    ProtocolForm(ChunkedText text, boolean write) {
        this.text = text;
        this.write = write;
        gaps = write ? INSERT : SELECT;
    }

    /** Checks the next literal, whose quotes are at these indices, and what stands before it. */
    void checkLiteral(int openingQuote, int closingQuote) throws StatementException {
        checkGap(openingQuote);
        if (write && literals == 1) {
            checkHexadecimal(openingQuote + 1, closingQuote);
        }
        literals++;
        gapStart = closingQuote + 1;
    }

    /** Checks what stands behind the last literal, up to the comment at this index. */
    void checkEnd(int commentStart) throws StatementException {
        if (literals != gaps.size() - 1) {
            throw malformed();
        }
        checkGap(commentStart);
    }

    private void checkGap(int end) throws StatementException {
        if (literals >= gaps.size() || !matches(end, gaps.get(literals))) {
            throw malformed();
        }
    }

    /**
     * Whether the text from the last literal to an index has this form, in which a space stands for optional white space, an
     * underscore for required white space, and a letter for itself in any case.
     */
    private boolean matches(int end, String form) {
        int at = gapStart;
        for (int i = 0; i < form.length(); i++) {
            char expected = form.charAt(i);
            if (expected == ' ' || expected == '_') {
                int start = at;
                while (at < end && isSpace(text.byteAt(at))) {
                    at++;
                }
                if (expected == '_' && at == start) {
                    return false;
                }
            } else if (at == end || Character.toLowerCase(text.byteAt(at)) != expected) {
                return false;
            } else {
                at++;
            }
        }
        return at == end;
    }

    private static boolean isSpace(byte character) {
        return character == ' ' || character == '\t' || character == '\r' || character == '\n';
    }

    private void checkHexadecimal(int from, int to) throws StatementException {
        boolean valid = to - from >= 2 && (to - from) % 2 == 0 && text.byteAt(from) == '\\' && text.byteAt(from + 1) == 'x';
        if (!valid) {
            throw malformed();
        }
        for (ByteBuffer view : text.views(from + 2, to)) {
            byte[] part = view.array();
            for (int i = view.position(); i < view.limit(); i++) {
                if (part[i] < 0 || part[i] > MAX_HEX_DIGIT || !IS_HEX_DIGIT[part[i]]) {
                    throw malformed();
                }
            }
        }
    }

    private static StatementException malformed() {
        return new StatementException(SqlState.SYNTAX_ERROR,
                "the statement is neither a SELECT by key nor an INSERT of a key and a hexadecimal value");
    }
}
