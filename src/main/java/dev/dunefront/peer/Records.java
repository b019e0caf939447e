package dev.dunefront.peer;

import dev.dunefront.peer.Message.Absent;
import dev.dunefront.peer.Message.Blame;
import dev.dunefront.peer.Message.Cancelled;
import dev.dunefront.peer.Message.Clear;
import dev.dunefront.peer.Message.Count;
import dev.dunefront.peer.Message.Decline;
import dev.dunefront.peer.Message.Demand;
import dev.dunefront.peer.Message.DutyTerm;
import dev.dunefront.peer.Message.Ended;
import dev.dunefront.peer.Message.Health;
import dev.dunefront.peer.Message.Hello;
import dev.dunefront.peer.Message.HoldAsk;
import dev.dunefront.peer.Message.HoldSay;
import dev.dunefront.peer.Message.Interest;
import dev.dunefront.peer.Message.Loan;
import dev.dunefront.peer.Message.LoanAsk;
import dev.dunefront.peer.Message.Offer;
import dev.dunefront.peer.Message.Ping;
import dev.dunefront.peer.Message.Preempt;
import dev.dunefront.peer.Message.Probe;
import dev.dunefront.peer.Message.Progress;
import dev.dunefront.peer.Message.Retire;
import dev.dunefront.peer.Message.Start;
import dev.dunefront.peer.Message.State;
import dev.dunefront.peer.Message.Stop;
import dev.dunefront.peer.Message.Taking;
import dev.dunefront.peer.Message.TaskState;
import dev.dunefront.peer.Message.Unheld;
import dev.dunefront.peer.Message.View;
import dev.dunefront.peer.Message.Waiting;
import dev.dunefront.peer.Message.Want;
import dev.dunefront.peer.Message.Why;
import dev.dunefront.wire.Size;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Encodes messages as one type byte followed by the fields in order. */
public final class Records {
  /** Maximum size of an accepted record, in bytes. */
  static final int MAX_RECORD = 4 << 20;

  private Records() {}

  public static byte[] encode(Message m) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
    try {
      write(new DataOutputStream(bytes), m);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return bytes.toByteArray();
  }

  private static void write(DataOutputStream out, Message m) throws IOException {
    if (m instanceof Hello h) {
      out.writeByte(1);
      out.writeUTF(h.node());
    } else if (m instanceof Ping) {
      out.writeByte(2);
    } else if (m instanceof View v) {
      out.writeByte(3);
      out.writeUTF(v.host());
      out.writeUTF(v.type());
      out.writeUTF(v.zone());
      out.writeBoolean(v.spot());
      out.writeLong(v.token());
      out.writeLong(v.holdStamp());
      out.writeLong(v.session());
      out.writeBoolean(v.settled());
      out.writeBoolean(v.lost());
      out.writeBoolean(v.open());
      out.writeBoolean(v.quarantined());
      out.writeBoolean(v.retiring());
      out.writeBoolean(v.deaf());
      out.writeLong(v.idleSinceMs());
      writeSize(out, v.free());
      out.writeShort(v.images().size());
      for (String image : v.images()) {
        out.writeUTF(image);
      }
      writeCounts(out, v.unfinished());
      writeCounts(out, v.young());
      out.writeInt(v.tasks().size());
      for (TaskState t : v.tasks()) {
        out.writeUTF(t.job());
        out.writeInt(t.number());
        out.writeLong(t.attempt());
        out.writeByte(t.state().ordinal());
        out.writeByte(t.why().ordinal());
      }
    } else if (m instanceof Unheld u) {
      out.writeByte(4);
      out.writeUTF(u.host());
    } else if (m instanceof Want w) {
      out.writeByte(5);
      out.writeUTF(w.host());
      out.writeUTF(w.job());
      out.writeByte(w.priority());
      out.writeByte(w.rank());
      writeSize(out, w.size());
      out.writeInt(w.count());
    } else if (m instanceof Offer o) {
      out.writeByte(6);
      out.writeLong(o.offer());
      out.writeUTF(o.host());
      out.writeUTF(o.job());
      out.writeLong(o.token());
      out.writeLong(o.holdStamp());
      out.writeLong(o.session());
    } else if (m instanceof Decline d) {
      out.writeByte(7);
      out.writeLong(d.offer());
      out.writeUTF(d.host());
    } else if (m instanceof Taking t) {
      out.writeByte(21);
      out.writeLong(t.offer());
      out.writeUTF(t.host());
    } else if (m instanceof Start s) {
      out.writeByte(8);
      out.writeLong(s.offer());
      out.writeUTF(s.host());
      out.writeLong(s.token());
      out.writeLong(s.session());
      out.writeLong(s.term());
      writeAttempt(out, s.job(), s.number(), s.attempt());
    } else if (m instanceof Probe p) {
      out.writeByte(9);
      out.writeUTF(p.host());
      out.writeLong(p.term());
      writeAttempt(out, p.job(), p.number(), p.attempt());
    } else if (m instanceof Absent a) {
      out.writeByte(10);
      out.writeUTF(a.host());
      out.writeLong(a.token());
      out.writeLong(a.holdStamp());
      writeAttempt(out, a.job(), a.number(), a.attempt());
    } else if (m instanceof Stop s) {
      out.writeByte(11);
      out.writeUTF(s.host());
      out.writeLong(s.term());
      writeAttempt(out, s.job(), s.number(), s.attempt());
      out.writeDouble(s.graceS());
    } else if (m instanceof Clear c) {
      out.writeByte(12);
      out.writeUTF(c.host());
      out.writeLong(c.term());
      writeAttempt(out, c.job(), c.number(), c.attempt());
    } else {
      writeOther(out, m);
    }
  }

  /** Writes messages that concern neither a task nor an offer. */
  private static void writeOther(DataOutputStream out, Message m) throws IOException {
    if (m instanceof Blame b) {
      out.writeByte(13);
      out.writeUTF(b.host());
      out.writeUTF(b.job());
      out.writeByte(b.weight());
    } else if (m instanceof HoldAsk a) {
      out.writeByte(14);
      out.writeUTF(a.host());
      out.writeLong(a.session());
      out.writeLong(a.serial());
      out.writeLong(a.token());
    } else if (m instanceof HoldSay s) {
      out.writeByte(15);
      out.writeUTF(s.host());
      out.writeBoolean(s.held());
      out.writeDouble(s.heardAgoS());
    } else if (m instanceof Retire r) {
      out.writeByte(22);
      out.writeUTF(r.host());
      out.writeLong(r.term());
    } else if (m instanceof DutyTerm t) {
      out.writeByte(23);
      out.writeUTF(t.duty());
      out.writeLong(t.term());
    } else if (m instanceof Ended e) {
      out.writeByte(24);
      out.writeUTF(e.job());
      out.writeBoolean(e.done());
    } else if (m instanceof Interest i) {
      out.writeByte(25);
      out.writeByte(i.detail().ordinal());
    } else if (m instanceof LoanAsk a) {
      out.writeByte(26);
      out.writeLong(a.number());
      out.writeInt(a.changes());
    } else if (m instanceof Loan l) {
      out.writeByte(27);
      out.writeLong(l.number());
      out.writeInt(l.changes());
    } else if (m instanceof Cancelled c) {
      out.writeByte(16);
      out.writeUTF(c.job());
    } else if (m instanceof Preempt p) {
      out.writeByte(19);
      out.writeUTF(p.host());
      out.writeByte(p.priority());
      writeSize(out, p.size());
      out.writeInt(p.count());
    } else if (m instanceof Progress p) {
      out.writeByte(20);
      out.writeInt(p.counts().size());
      for (Count n : p.counts()) {
        out.writeUTF(n.job());
        out.writeInt(n.done());
        out.writeInt(n.running());
        out.writeInt(n.placed());
      }
    } else if (m instanceof Health h) {
      out.writeByte(18);
      out.writeBoolean(h.stateServes());
      out.writeDouble(h.requests());
      out.writeDouble(h.writes());
      out.writeInt(h.held());
      out.writeDouble(h.lagS());
    } else if (m instanceof Demand d) {
      out.writeByte(17);
      out.writeInt(d.waiting().size());
      for (Waiting w : d.waiting()) {
        out.writeUTF(w.job());
        out.writeInt(w.tasks());
        out.writeByte(w.zones().size());
        for (var zone : w.zones().entrySet()) {
          out.writeUTF(zone.getKey());
          out.writeInt(zone.getValue());
        }
      }
      out.writeInt(d.unheard().size());
      for (String host : d.unheard()) {
        out.writeUTF(host);
      }
    }
  }

  private static void writeCounts(DataOutputStream out, List<Integer> counts) throws IOException {
    out.writeByte(counts.size());
    for (int n : counts) {
      out.writeShort(n);
    }
  }

  private static List<Integer> readCounts(DataInputStream in) throws IOException {
    List<Integer> counts = new ArrayList<>();
    for (int n = in.readByte(); n > 0; n--) {
      counts.add((int) in.readShort());
    }
    return counts;
  }

  private static void writeSize(DataOutputStream out, Size s) throws IOException {
    out.writeLong(s.cpu());
    out.writeLong(s.gpu());
    out.writeLong(s.ram());
  }

  private static void writeAttempt(DataOutputStream out, String job, int number, long attempt)
      throws IOException {
    out.writeUTF(job);
    out.writeInt(number);
    out.writeLong(attempt);
  }

  /** Decodes a record; throws on malformed input, which closes only the link that it came from. */
  public static Message decode(byte[] record) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(record));
    int type = in.readByte();
    Message m =
        switch (type) {
          case 1 -> new Hello(in.readUTF());
          case 2 -> new Ping();
          case 3 -> readView(in);
          case 4 -> new Unheld(in.readUTF());
          case 5 ->
              new Want(
                  in.readUTF(),
                  in.readUTF(),
                  in.readByte(),
                  in.readByte(),
                  readSize(in),
                  in.readInt());
          case 6 ->
              new Offer(
                  in.readLong(),
                  in.readUTF(),
                  in.readUTF(),
                  in.readLong(),
                  in.readLong(),
                  in.readLong());
          case 7 -> new Decline(in.readLong(), in.readUTF());
          case 21 -> new Taking(in.readLong(), in.readUTF());
          case 8 ->
              new Start(
                  in.readLong(),
                  in.readUTF(),
                  in.readLong(),
                  in.readLong(),
                  in.readLong(),
                  in.readUTF(),
                  in.readInt(),
                  in.readLong());
          case 9 ->
              new Probe(in.readUTF(), in.readLong(), in.readUTF(), in.readInt(), in.readLong());
          case 10 ->
              new Absent(
                  in.readUTF(),
                  in.readLong(),
                  in.readLong(),
                  in.readUTF(),
                  in.readInt(),
                  in.readLong());
          case 11 ->
              new Stop(
                  in.readUTF(),
                  in.readLong(),
                  in.readUTF(),
                  in.readInt(),
                  in.readLong(),
                  in.readDouble());
          case 12 ->
              new Clear(in.readUTF(), in.readLong(), in.readUTF(), in.readInt(), in.readLong());
          case 13 -> new Blame(in.readUTF(), in.readUTF(), in.readByte());
          case 14 -> new HoldAsk(in.readUTF(), in.readLong(), in.readLong(), in.readLong());
          case 15 -> new HoldSay(in.readUTF(), in.readBoolean(), in.readDouble());
          case 24 -> new Ended(in.readUTF(), in.readBoolean());
          case 25 -> new Interest(pick(Detail.values(), in.readByte()));
          case 26 -> new LoanAsk(in.readLong(), in.readInt());
          case 27 -> new Loan(in.readLong(), in.readInt());
          case 16 -> new Cancelled(in.readUTF());
          case 22 -> new Retire(in.readUTF(), in.readLong());
          case 23 -> new DutyTerm(in.readUTF(), in.readLong());
          case 17 -> {
            int n = in.readInt();
            List<Waiting> all = new ArrayList<>();
            for (int i = 0; i < n; i++) {
              all.add(new Waiting(in.readUTF(), in.readInt(), readZones(in)));
            }
            List<String> unheard = new ArrayList<>();
            for (int i = in.readInt(); i > 0; i--) {
              unheard.add(in.readUTF());
            }
            yield new Demand(all, unheard);
          }
          case 19 -> new Preempt(in.readUTF(), in.readByte(), readSize(in), in.readInt());
          case 18 ->
              new Health(
                  in.readBoolean(),
                  in.readDouble(),
                  in.readDouble(),
                  in.readInt(),
                  in.readDouble());
          case 20 -> {
            int n = in.readInt();
            List<Count> all = new ArrayList<>();
            for (int i = 0; i < n; i++) {
              all.add(new Count(in.readUTF(), in.readInt(), in.readInt(), in.readInt()));
            }
            yield new Progress(all);
          }
          default -> throw new IOException("unknown record type " + type);
        };
    if (in.read() >= 0) {
      throw new IOException("unexpected bytes after the end of the record");
    }
    return m;
  }

  private static View readView(DataInputStream in) throws IOException {
    String host = in.readUTF();
    String type = in.readUTF();
    String zone = in.readUTF();
    boolean spot = in.readBoolean();
    long token = in.readLong();
    long stamp = in.readLong();
    long session = in.readLong();
    boolean settled = in.readBoolean();
    boolean lost = in.readBoolean();
    boolean open = in.readBoolean();
    boolean quarantined = in.readBoolean();
    boolean retiring = in.readBoolean();
    boolean deaf = in.readBoolean();
    long idleSinceMs = in.readLong();
    Size free = readSize(in);
    List<String> images = new ArrayList<>();
    for (int n = in.readShort(); n > 0; n--) {
      images.add(in.readUTF());
    }
    List<Integer> unfinished = readCounts(in);
    List<Integer> young = readCounts(in);
    List<TaskState> tasks = new ArrayList<>();
    for (int n = in.readInt(); n > 0; n--) {
      tasks.add(
          new TaskState(
              in.readUTF(),
              in.readInt(),
              in.readLong(),
              pick(State.values(), in.readByte()),
              pick(Why.values(), in.readByte())));
    }
    return new View(
        host,
        type,
        zone,
        spot,
        token,
        stamp,
        session,
        settled,
        lost,
        open,
        quarantined,
        retiring,
        deaf,
        idleSinceMs,
        free,
        images,
        unfinished,
        young,
        tasks);
  }

  private static Map<String, Integer> readZones(DataInputStream in) throws IOException {
    Map<String, Integer> zones = new LinkedHashMap<>();
    for (int n = in.readByte(); n > 0; n--) {
      zones.put(in.readUTF(), in.readInt());
    }
    return zones;
  }

  private static <T> T pick(T[] constants, int index) throws IOException {
    if (index < 0 || index >= constants.length) {
      throw new IOException("unknown enum code " + index);
    }
    return constants[index];
  }

  private static Size readSize(DataInputStream in) throws IOException {
    return new Size(in.readLong(), in.readLong(), in.readLong());
  }
}
