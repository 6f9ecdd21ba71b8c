package holdmux.flight;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.WireFormat;
import holdmux.core.ScalarResult;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.Channels;
import java.util.ArrayList;
import java.util.List;
import org.apache.arrow.flatbuf.DictionaryBatch;
import org.apache.arrow.flatbuf.Message;
import org.apache.arrow.flatbuf.MessageHeader;
import org.apache.arrow.flatbuf.RecordBatch;
import org.apache.arrow.flight.impl.Flight.FlightData;
import org.apache.arrow.memory.ArrowBuf;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.VarBinaryVector;
import org.apache.arrow.vector.VectorLoader;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.VectorUnloader;
import org.apache.arrow.vector.ipc.WriteChannel;
import org.apache.arrow.vector.ipc.message.ArrowRecordBatch;
import org.apache.arrow.vector.ipc.message.MessageSerializer;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.FieldType;
import org.apache.arrow.vector.types.pojo.Schema;

/** Encodes and decodes Arrow IPC data in FlightData messages, for the few tables that are built or read here, not relayed. */
final class ArrowIpc {
    /** Buffers in a message body are padded to this, as the IPC format requires. */
    private static final int ALIGNMENT = 8;

    private final BufferAllocator allocator;

    ArrowIpc(BufferAllocator allocator) {
        this.allocator = allocator;
    }

    /** The schema of a single value from a PostgreSQL server. */
    static Schema scalarSchema(String column) {
        return new Schema(List.of(Field.nullable(column, ArrowType.Binary.INSTANCE)));
    }

    /** Serializes a schema as the first message of a stream. */
    static byte[] toMessage(Schema schema) {
        return FlightData.newBuilder().setDataHeader(ByteString.copyFrom(MessageSerializer.serializeMetadata(schema)))
                .build().toByteArray();
    }

    /** Serializes a schema in the encapsulated message format, as used in FlightInfo and SchemaResult. */
    static ByteString encapsulated(Schema schema) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            MessageSerializer.serialize(new WriteChannel(Channels.newChannel(out)), schema);
        } catch (IOException e) {
            throw new IllegalStateException("unexpected I/O error on an in-memory stream", e);
        }
        return ByteString.copyFrom(out.toByteArray());
    }

    /** Serializes a root's content as one record batch message. */
    static byte[] toMessage(VectorSchemaRoot root) {
        try (ArrowRecordBatch batch = new VectorUnloader(root).getRecordBatch()) {
            ByteArrayOutputStream body = new ByteArrayOutputStream((int) batch.computeBodyLength());
            for (ArrowBuf buffer : batch.getBuffers()) {
                byte[] bytes = new byte[(int) buffer.readableBytes()];
                buffer.getBytes(buffer.readerIndex(), bytes);
                body.writeBytes(bytes);
                body.writeBytes(new byte[(ALIGNMENT - bytes.length % ALIGNMENT) % ALIGNMENT]);
            }
            return FlightData.newBuilder().setDataHeader(ByteString.copyFrom(MessageSerializer.serializeMetadata(batch)))
                    .setDataBody(ByteString.copyFrom(body.toByteArray())).build().toByteArray();
        }
    }

    /** Encodes a single value as a table of one binary column; reads the whole value into memory. */
    List<byte[]> toTable(ScalarResult scalar) throws IOException {
        Schema schema = scalarSchema(scalar.column());
        try (VectorSchemaRoot root = VectorSchemaRoot.create(schema, allocator)) {
            VarBinaryVector vector = (VarBinaryVector) root.getVector(0);
            if (scalar.length() == ScalarResult.NULL) {
                vector.allocateNew(1);
                vector.setNull(0);
            } else {
                ByteArrayOutputStream bytes = new ByteArrayOutputStream(scalar.length());
                scalar.writeTo(bytes);
                vector.setSafe(0, bytes.toByteArray());
            }
            root.setRowCount(1);
            return List.of(toMessage(schema), toMessage(root));
        }
    }

    /** A message's header and the length of its body. */
    private record ParsedMessage(Message header, long bodyLength) {}

    /** Parses a message's header without copying its body; null if the message has only application metadata. */
    private static ParsedMessage parseHeader(byte[] message) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(message);
        byte[] header = {};
        long body = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case FlightData.DATA_HEADER_FIELD_NUMBER -> header = in.readByteArray();
                case FlightData.DATA_BODY_FIELD_NUMBER -> {
                    body = in.readRawVarint32();
                    in.skipRawBytes((int) body);
                }
                default -> in.skipField(tag);
            }
        }
        return header.length == 0 ? null
                : new ParsedMessage(Message.getRootAsMessage(ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN)), body);
    }

    /**
     * Validates a message of a table as far as possible without decoding its columns: the body has the length given in
     * the header, and every buffer lies within the body.
     *
     * @return the header type, one of the {@link MessageHeader} constants; NONE if there is only application metadata
     * @throws IOException if the message is malformed
     */
    static byte validate(byte[] flightData) throws IOException {
        try {
            ParsedMessage parsed = parseHeader(flightData);
            if (parsed == null) {
                return MessageHeader.NONE;
            }
            Message message = parsed.header();
            boolean valid = message.bodyLength() == parsed.bodyLength() && switch (message.headerType()) {
                case MessageHeader.Schema -> parsed.bodyLength() == 0;
                case MessageHeader.RecordBatch -> buffersWithinBody((RecordBatch) message.header(new RecordBatch()), parsed);
                case MessageHeader.DictionaryBatch ->
                        buffersWithinBody(((DictionaryBatch) message.header(new DictionaryBatch())).data(), parsed);
                default -> false;
            };
            if (!valid) {
                throw new IOException("the message body does not match its header");
            }
            return message.headerType();
        } catch (RuntimeException e) {
            throw new IOException("malformed message header", e);
        }
    }

    private static boolean buffersWithinBody(RecordBatch batch, ParsedMessage parsed) {
        boolean valid = batch.length() >= 0;
        for (int i = 0; valid && i < batch.buffersLength(); i++) {
            long offset = batch.buffers(i).offset();
            long length = batch.buffers(i).length();
            valid = offset >= 0 && length >= 0 && offset <= parsed.bodyLength() - length;
        }
        return valid;
    }

    private static FlightData parseFlightData(byte[] message) throws IOException {
        try {
            return FlightData.parseFrom(message);
        } catch (InvalidProtocolBufferException e) {
            throw new IOException("malformed FlightData message", e);
        }
    }

    /** Reads a table's schema from its first message. */
    static Schema readSchema(byte[] message) throws IOException {
        try {
            ParsedMessage parsed = parseHeader(message);
            if (parsed == null) {
                throw new IOException("the first message of the stream has no header");
            }
            return MessageSerializer.deserializeSchema(parsed.header());
        } catch (RuntimeException e) {
            throw new IOException("the first message of the stream is not a schema", e);
        }
    }

    /** Receives each record batch of a table that is decoded here. */
    interface BatchConsumer {
        void accept(VectorSchemaRoot root) throws IOException;
    }

    /**
     * Decodes a whole table batch by batch. Dictionary-encoded columns are read as their indices. Arrow's stream reader
     * is not used because it leaks memory on malformed input; here every body is released in all cases.
     *
     * @throws IOException if the messages are not a valid table
     */
    void readBatches(List<byte[]> messages, BatchConsumer consumer) throws IOException {
        List<ArrowBuf> bodies = new ArrayList<>();
        VectorSchemaRoot root = null;
        try {
            root = VectorSchemaRoot.create(new Schema(withIndexTypes(readSchema(messages.get(0)).getFields())), allocator);
            VectorLoader loader = new VectorLoader(root);
            for (byte[] message : messages.subList(1, messages.size())) {
                if (validate(message) != MessageHeader.RecordBatch) {
                    continue;
                }
                byte[] bytes = parseFlightData(message).getDataBody().toByteArray();
                ArrowBuf body = allocator.buffer(bytes.length);
                bodies.add(body);
                body.writeBytes(bytes);
                try (ArrowRecordBatch batch = MessageSerializer.deserializeRecordBatch(parseHeader(message).header(), body)) {
                    loader.load(batch);
                }
                consumer.accept(root);
            }
        } catch (RuntimeException e) {
            throw new IOException("malformed table", e);
        } finally {
            if (root != null) {
                root.close();
            }
            for (ArrowBuf body : bodies) {
                if (body.refCnt() > 0) {
                    body.getReferenceManager().release(body.refCnt());
                }
            }
        }
    }

    /** Replaces the type of dictionary-encoded fields with that of their indices, which is what record batches contain. */
    private static List<Field> withIndexTypes(List<Field> fields) {
        return fields.stream().map(field -> field.getDictionary() == null
                ? new Field(field.getName(), field.getFieldType(), withIndexTypes(field.getChildren()))
                : new Field(field.getName(), new FieldType(field.isNullable(), field.getDictionary().getIndexType(), null),
                        null)).toList();
    }

    /** Counts the rows of a table. */
    long countRows(List<byte[]> messages) throws IOException {
        long[] count = new long[1];
        readBatches(messages, root -> count[0] += root.getRowCount());
        return count[0];
    }

    /** Returns a table's single value, or null if the table is not one row of one text or binary column. */
    ScalarResult readScalar(List<byte[]> messages) throws IOException {
        List<Object> values = new ArrayList<>();
        String[] column = new String[1];
        boolean[] isScalar = {true};
        readBatches(messages, root -> {
            isScalar[0] &= root.getFieldVectors().size() == 1 && root.getRowCount() + values.size() <= 1;
            for (int row = 0; isScalar[0] && row < root.getRowCount(); row++) {
                FieldVector vector = root.getVector(0);
                column[0] = vector.getName();
                Object value = vector.isNull(row) ? null : vector.getObject(row);
                isScalar[0] = value == null || value instanceof byte[] || value instanceof org.apache.arrow.vector.util.Text;
                values.add(value instanceof org.apache.arrow.vector.util.Text text ? text.copyBytes() : value);
            }
        });
        return isScalar[0] && values.size() == 1 ? new BufferedScalarResult(column[0], (byte[]) values.get(0)) : null;
    }
}
