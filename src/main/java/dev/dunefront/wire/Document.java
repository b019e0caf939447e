package dev.dunefront.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * A MessagePack map with string keys and type-checked access to its fields. A field with a nil
 * value counts as absent.
 */
public final class Document {
  /** Maximum nesting of a decoded message, which bounds the decoder's recursion. */
  private static final int MAX_DEPTH = 24;

  private final Map<String, Object> fields;

  private Document(Map<String, Object> fields) {
    this.fields = fields;
  }

  /** A new, empty document. */
  public static Document create() {
    return new Document(new LinkedHashMap<>());
  }

  public static Document decode(byte[] body) throws MalformedMessageException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
      Object value = unpackValue(in, 0);
      if (in.hasNext()) {
        throw new MalformedMessageException("bytes after the message");
      }
      if (value instanceof Document doc) {
        return doc;
      }
      throw new MalformedMessageException("not a map");
    } catch (IOException | MessagePackException e) {
      throw new MalformedMessageException("not MessagePack");
    }
  }

  private static Object unpackValue(MessageUnpacker in, int depth)
      throws IOException, MalformedMessageException {
    if (depth > MAX_DEPTH) {
      throw new MalformedMessageException("nested too deeply");
    }
    MessageFormat format = in.getNextFormat();
    switch (format.getValueType()) {
      case NIL:
        in.unpackNil();
        return null;
      case BOOLEAN:
        return in.unpackBoolean();
      case INTEGER:
        if (format != MessageFormat.UINT64) {
          return in.unpackLong();
        }
        var big = in.unpackBigInteger();
        return big.bitLength() <= 63 ? (Object) big.longValue() : (Object) big.doubleValue();
      case FLOAT:
        return in.unpackDouble();
      case STRING:
        return in.unpackString();
      case ARRAY:
        int n = in.unpackArrayHeader();
        // The declared length does not size the list: a short body may declare billions of items.
        List<Object> list = new ArrayList<>(Math.min(n, 1024));
        for (int i = 0; i < n; i++) {
          list.add(unpackValue(in, depth + 1));
        }
        return list;
      case MAP:
        int size = in.unpackMapHeader();
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < size; i++) {
          map.put(in.unpackString(), unpackValue(in, depth + 1));
        }
        return new Document(map);
      default:
        throw new MalformedMessageException("binary data");
    }
  }

  public byte[] encode() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      packValue(out, this);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The size of this document as JSON, in which the protocol counts its limits, in bytes. */
  public int jsonBytes() {
    return JsonSize.of(this);
  }

  Map<String, Object> fields() {
    return fields;
  }

  private static void packValue(MessageBufferPacker out, Object value) throws IOException {
    if (value == null) {
      out.packNil();
    } else if (value instanceof Document doc) {
      out.packMapHeader(doc.fields.size());
      for (var e : doc.fields.entrySet()) {
        out.packString(e.getKey());
        packValue(out, e.getValue());
      }
    } else if (value instanceof List<?> list) {
      out.packArrayHeader(list.size());
      for (Object o : list) {
        packValue(out, o);
      }
    } else if (value instanceof String s) {
      out.packString(s);
    } else if (value instanceof Boolean b) {
      out.packBoolean(b);
    } else if (value instanceof Double d) {
      out.packDouble(d);
    } else if (value instanceof Number n) {
      out.packLong(n.longValue());
    } else {
      throw new IllegalArgumentException("cannot encode " + value.getClass());
    }
  }

  /** Sets a field. An Integer is stored as a Long, as it would be in a decoded message. */
  public Document put(String name, Object value) {
    fields.put(name, value instanceof Integer i ? (Object) i.longValue() : value);
    return this;
  }

  public boolean has(String name) {
    return fields.get(name) != null;
  }

  public String text(String name) throws MalformedMessageException {
    if (fields.get(name) instanceof String s) {
      return s;
    }
    throw new MalformedMessageException(name + " is missing or not text");
  }

  public String textOr(String name, String fallback) throws MalformedMessageException {
    return has(name) ? text(name) : fallback;
  }

  /** The value of a required field that is a whole number of 0 or more. */
  public long count(String name) throws MalformedMessageException {
    Object v = fields.get(name);
    if (v instanceof Long l && l >= 0) {
      return l;
    }
    if (v instanceof Double d && d >= 0 && d == Math.rint(d) && d < 9e15) {
      return d.longValue();
    }
    throw new MalformedMessageException(name + " is missing or not a count");
  }

  public long countOr(String name, long fallback) throws MalformedMessageException {
    return has(name) ? count(name) : fallback;
  }

  /** The value of a required field that is a finite number of 0 or more. */
  public double amount(String name) throws MalformedMessageException {
    if (fields.get(name) instanceof Number n
        && n.doubleValue() >= 0
        && n.doubleValue() < Double.POSITIVE_INFINITY) {
      return n.doubleValue();
    }
    throw new MalformedMessageException(name + " is missing or not an amount");
  }

  public Double amountOrNull(String name) throws MalformedMessageException {
    return has(name) ? (Double) amount(name) : null;
  }

  public boolean flag(String name) throws MalformedMessageException {
    if (fields.get(name) instanceof Boolean b) {
      return b;
    }
    throw new MalformedMessageException(name + " is missing or not a boolean");
  }

  public boolean flagOr(String name, boolean fallback) throws MalformedMessageException {
    return has(name) ? flag(name) : fallback;
  }

  public Document document(String name) throws MalformedMessageException {
    if (fields.get(name) instanceof Document d) {
      return d;
    }
    throw new MalformedMessageException(name + " is missing or not a map");
  }

  public List<Document> documents(String name) throws MalformedMessageException {
    return list(name, Document.class);
  }

  public List<String> texts(String name) throws MalformedMessageException {
    return list(name, String.class);
  }

  public List<Long> counts(String name) throws MalformedMessageException {
    return list(name, Long.class);
  }

  /** The items of a list; empty if the field is absent. */
  private <T> List<T> list(String name, Class<T> itemType) throws MalformedMessageException {
    Object v = fields.get(name);
    if (v == null) {
      return List.of();
    }
    if (!(v instanceof List<?> raw)) {
      throw new MalformedMessageException(name + " is not a list");
    }
    List<T> all = new ArrayList<>(raw.size());
    for (Object o : raw) {
      if (!itemType.isInstance(o)) {
        throw new MalformedMessageException(name + " holds an item of the wrong kind");
      }
      all.add(itemType.cast(o));
    }
    return all;
  }

  @Override
  public String toString() {
    return fields.toString();
  }
}
