package dev.dunefront.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Map;

/**
 * The size of a value as JSON. Messages are sent as MessagePack, but the protocol counts its size
 * limits in JSON, which is larger: a number below 128, for example, has one byte in MessagePack and
 * up to three digits and a comma in JSON.
 */
final class JsonSize {
  private static final JsonFactory FACTORY = new JsonFactory();

  /** Counts bytes instead of writing them. */
  private static final class Counter extends OutputStream {
    private int bytes;

    @Override
    public void write(int b) {
      bytes++;
    }

    @Override
    public void write(byte[] buffer, int offset, int length) {
      bytes += length;
    }
  }

  private JsonSize() {}

  /** The number of bytes of the value in UTF-8, without white space. */
  static int of(Object value) {
    Counter counter = new Counter();
    try (JsonGenerator json = FACTORY.createGenerator(counter)) {
      write(json, value);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return counter.bytes;
  }

  private static void write(JsonGenerator json, Object value) throws IOException {
    if (value instanceof Document document) {
      json.writeStartObject();
      for (Map.Entry<String, Object> field : document.fields().entrySet()) {
        json.writeFieldName(field.getKey());
        write(json, field.getValue());
      }
      json.writeEndObject();
    } else if (value instanceof List<?> list) {
      json.writeStartArray();
      for (Object item : list) {
        write(json, item);
      }
      json.writeEndArray();
    } else if (value instanceof String text) {
      json.writeString(text);
    } else if (value instanceof Boolean flag) {
      json.writeBoolean(flag);
    } else if (value instanceof Double number) {
      json.writeNumber(number);
    } else if (value instanceof Number number) {
      json.writeNumber(number.longValue());
    } else if (value == null) {
      json.writeNull();
    } else {
      throw new IllegalArgumentException("cannot encode " + value.getClass());
    }
  }
}
