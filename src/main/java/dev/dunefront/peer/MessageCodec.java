package dev.dunefront.peer;

import dev.dunefront.peer.Message.AttemptAbsent;
import dev.dunefront.peer.Message.AttemptQuery;
import dev.dunefront.peer.Message.ClearTask;
import dev.dunefront.peer.Message.ControllerStatus;
import dev.dunefront.peer.Message.DeclineOffer;
import dev.dunefront.peer.Message.Demand;
import dev.dunefront.peer.Message.DutyTerm;
import dev.dunefront.peer.Message.ExitReason;
import dev.dunefront.peer.Message.FailureReport;
import dev.dunefront.peer.Message.Hello;
import dev.dunefront.peer.Message.HoldQuery;
import dev.dunefront.peer.Message.HoldReleased;
import dev.dunefront.peer.Message.HoldStatus;
import dev.dunefront.peer.Message.JobCancelled;
import dev.dunefront.peer.Message.JobCounts;
import dev.dunefront.peer.Message.JobEnded;
import dev.dunefront.peer.Message.JobProgress;
import dev.dunefront.peer.Message.Loan;
import dev.dunefront.peer.Message.LoanRequest;
import dev.dunefront.peer.Message.MachineView;
import dev.dunefront.peer.Message.Offer;
import dev.dunefront.peer.Message.PendingTasks;
import dev.dunefront.peer.Message.Ping;
import dev.dunefront.peer.Message.PreemptTasks;
import dev.dunefront.peer.Message.ReserveOffer;
import dev.dunefront.peer.Message.RetireMachine;
import dev.dunefront.peer.Message.StartTask;
import dev.dunefront.peer.Message.StopTask;
import dev.dunefront.peer.Message.TaskState;
import dev.dunefront.peer.Message.TaskStatus;
import dev.dunefront.peer.Message.ViewSubscription;
import dev.dunefront.peer.Message.Want;
import dev.dunefront.wire.Resources;
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
public final class MessageCodec {
  /** Maximum size of an accepted record, in bytes. */
  static final int MAX_RECORD_BYTES = 4 << 20;

  private MessageCodec() {}

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
    } else if (m instanceof MachineView v) {
      out.writeByte(3);
      out.writeUTF(v.host());
      out.writeUTF(v.type());
      out.writeUTF(v.zone());
      out.writeBoolean(v.spot());
      out.writeLong(v.token());
      out.writeLong(v.holdRevision());
      out.writeLong(v.session());
      out.writeBoolean(v.tokenAcknowledged());
      out.writeBoolean(v.leaseExpired());
      out.writeBoolean(v.schedulable());
      out.writeBoolean(v.quarantined());
      out.writeBoolean(v.retiring());
      out.writeBoolean(v.unresponsive());
      out.writeLong(v.idleSinceMs());
      writeSize(out, v.free());
      out.writeShort(v.images().size());
      for (String image : v.images()) {
        out.writeUTF(image);
      }
      writeCounts(out, v.unfinishedByPriority());
      writeCounts(out, v.preemptibleByPriority());
      out.writeInt(v.tasks().size());
      for (TaskStatus t : v.tasks()) {
        out.writeUTF(t.job());
        out.writeInt(t.number());
        out.writeLong(t.attempt());
        out.writeByte(t.state().ordinal());
        out.writeByte(t.exitReason().ordinal());
      }
    } else if (m instanceof HoldReleased u) {
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
      out.writeLong(o.offerId());
      out.writeUTF(o.host());
      out.writeUTF(o.job());
      out.writeLong(o.token());
      out.writeLong(o.holdRevision());
      out.writeLong(o.session());
    } else if (m instanceof DeclineOffer d) {
      out.writeByte(7);
      out.writeLong(d.offerId());
      out.writeUTF(d.host());
    } else if (m instanceof ReserveOffer t) {
      out.writeByte(21);
      out.writeLong(t.offerId());
      out.writeUTF(t.host());
    } else if (m instanceof StartTask s) {
      out.writeByte(8);
      out.writeLong(s.offerId());
      out.writeUTF(s.host());
      out.writeLong(s.token());
      out.writeLong(s.session());
      out.writeLong(s.term());
      writeAttempt(out, s.job(), s.number(), s.attempt());
    } else if (m instanceof AttemptQuery p) {
      out.writeByte(9);
      out.writeUTF(p.host());
      out.writeLong(p.term());
      writeAttempt(out, p.job(), p.number(), p.attempt());
    } else if (m instanceof AttemptAbsent a) {
      out.writeByte(10);
      out.writeUTF(a.host());
      out.writeLong(a.token());
      out.writeLong(a.holdRevision());
      writeAttempt(out, a.job(), a.number(), a.attempt());
    } else if (m instanceof StopTask s) {
      out.writeByte(11);
      out.writeUTF(s.host());
      out.writeLong(s.term());
      writeAttempt(out, s.job(), s.number(), s.attempt());
      out.writeDouble(s.graceS());
    } else if (m instanceof ClearTask c) {
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
    if (m instanceof FailureReport b) {
      out.writeByte(13);
      out.writeUTF(b.host());
      out.writeUTF(b.job());
      out.writeByte(b.weight());
    } else if (m instanceof HoldQuery a) {
      out.writeByte(14);
      out.writeUTF(a.host());
      out.writeLong(a.session());
      out.writeLong(a.serial());
      out.writeLong(a.token());
    } else if (m instanceof HoldStatus s) {
      out.writeByte(15);
      out.writeUTF(s.host());
      out.writeBoolean(s.held());
      out.writeDouble(s.lastReportAgeS());
    } else if (m instanceof RetireMachine r) {
      out.writeByte(22);
      out.writeUTF(r.host());
      out.writeLong(r.term());
    } else if (m instanceof DutyTerm t) {
      out.writeByte(23);
      out.writeUTF(t.duty());
      out.writeLong(t.term());
    } else if (m instanceof JobEnded e) {
      out.writeByte(24);
      out.writeUTF(e.job());
      out.writeBoolean(e.done());
    } else if (m instanceof ViewSubscription i) {
      out.writeByte(25);
      out.writeByte(i.detail().ordinal());
    } else if (m instanceof LoanRequest a) {
      out.writeByte(26);
      out.writeLong(a.requestNumber());
      out.writeInt(a.writes());
    } else if (m instanceof Loan l) {
      out.writeByte(27);
      out.writeLong(l.requestNumber());
      out.writeInt(l.writes());
    } else if (m instanceof JobCancelled c) {
      out.writeByte(16);
      out.writeUTF(c.job());
    } else if (m instanceof PreemptTasks p) {
      out.writeByte(19);
      out.writeUTF(p.host());
      out.writeByte(p.priority());
      writeSize(out, p.size());
      out.writeInt(p.count());
    } else if (m instanceof JobProgress p) {
      out.writeByte(20);
      out.writeInt(p.counts().size());
      for (JobCounts n : p.counts()) {
        out.writeUTF(n.job());
        out.writeInt(n.done());
        out.writeInt(n.running());
        out.writeInt(n.placed());
      }
    } else if (m instanceof ControllerStatus h) {
      out.writeByte(18);
      out.writeBoolean(h.stateAvailable());
      out.writeDouble(h.requestsPerS());
      out.writeDouble(h.writesPerS());
      out.writeInt(h.heldMachines());
      out.writeDouble(h.timerLagS());
    } else if (m instanceof Demand d) {
      out.writeByte(17);
      out.writeInt(d.pending().size());
      for (PendingTasks w : d.pending()) {
        out.writeUTF(w.job());
        out.writeInt(w.count());
        out.writeByte(w.roomByZone().size());
        for (var zone : w.roomByZone().entrySet()) {
          out.writeUTF(zone.getKey());
          out.writeInt(zone.getValue());
        }
      }
      out.writeInt(d.unreportedHosts().size());
      for (String host : d.unreportedHosts()) {
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

  private static void writeSize(DataOutputStream out, Resources s) throws IOException {
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
          case 4 -> new HoldReleased(in.readUTF());
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
          case 7 -> new DeclineOffer(in.readLong(), in.readUTF());
          case 21 -> new ReserveOffer(in.readLong(), in.readUTF());
          case 8 ->
              new StartTask(
                  in.readLong(),
                  in.readUTF(),
                  in.readLong(),
                  in.readLong(),
                  in.readLong(),
                  in.readUTF(),
                  in.readInt(),
                  in.readLong());
          case 9 ->
              new AttemptQuery(
                  in.readUTF(), in.readLong(), in.readUTF(), in.readInt(), in.readLong());
          case 10 ->
              new AttemptAbsent(
                  in.readUTF(),
                  in.readLong(),
                  in.readLong(),
                  in.readUTF(),
                  in.readInt(),
                  in.readLong());
          case 11 ->
              new StopTask(
                  in.readUTF(),
                  in.readLong(),
                  in.readUTF(),
                  in.readInt(),
                  in.readLong(),
                  in.readDouble());
          case 12 ->
              new ClearTask(in.readUTF(), in.readLong(), in.readUTF(), in.readInt(), in.readLong());
          case 13 -> new FailureReport(in.readUTF(), in.readUTF(), in.readByte());
          case 14 -> new HoldQuery(in.readUTF(), in.readLong(), in.readLong(), in.readLong());
          case 15 -> new HoldStatus(in.readUTF(), in.readBoolean(), in.readDouble());
          case 24 -> new JobEnded(in.readUTF(), in.readBoolean());
          case 25 -> new ViewSubscription(enumConstant(ViewDetail.values(), in.readByte()));
          case 26 -> new LoanRequest(in.readLong(), in.readInt());
          case 27 -> new Loan(in.readLong(), in.readInt());
          case 16 -> new JobCancelled(in.readUTF());
          case 22 -> new RetireMachine(in.readUTF(), in.readLong());
          case 23 -> new DutyTerm(in.readUTF(), in.readLong());
          case 17 -> {
            int n = in.readInt();
            List<PendingTasks> all = new ArrayList<>();
            for (int i = 0; i < n; i++) {
              all.add(new PendingTasks(in.readUTF(), in.readInt(), readRoomByZone(in)));
            }
            List<String> unreportedHosts = new ArrayList<>();
            for (int i = in.readInt(); i > 0; i--) {
              unreportedHosts.add(in.readUTF());
            }
            yield new Demand(all, unreportedHosts);
          }
          case 19 -> new PreemptTasks(in.readUTF(), in.readByte(), readSize(in), in.readInt());
          case 18 ->
              new ControllerStatus(
                  in.readBoolean(),
                  in.readDouble(),
                  in.readDouble(),
                  in.readInt(),
                  in.readDouble());
          case 20 -> {
            int n = in.readInt();
            List<JobCounts> all = new ArrayList<>();
            for (int i = 0; i < n; i++) {
              all.add(new JobCounts(in.readUTF(), in.readInt(), in.readInt(), in.readInt()));
            }
            yield new JobProgress(all);
          }
          default -> throw new IOException("unknown record type " + type);
        };
    if (in.read() >= 0) {
      throw new IOException("unexpected bytes after the end of the record");
    }
    return m;
  }

  private static MachineView readView(DataInputStream in) throws IOException {
    String host = in.readUTF();
    String type = in.readUTF();
    String zone = in.readUTF();
    boolean spot = in.readBoolean();
    long token = in.readLong();
    long holdRevision = in.readLong();
    long session = in.readLong();
    boolean tokenAcknowledged = in.readBoolean();
    boolean leaseExpired = in.readBoolean();
    boolean schedulable = in.readBoolean();
    boolean quarantined = in.readBoolean();
    boolean retiring = in.readBoolean();
    boolean unresponsive = in.readBoolean();
    long idleSinceMs = in.readLong();
    Resources free = readSize(in);
    List<String> images = new ArrayList<>();
    for (int n = in.readShort(); n > 0; n--) {
      images.add(in.readUTF());
    }
    List<Integer> unfinishedByPriority = readCounts(in);
    List<Integer> preemptibleByPriority = readCounts(in);
    List<TaskStatus> tasks = new ArrayList<>();
    for (int n = in.readInt(); n > 0; n--) {
      tasks.add(
          new TaskStatus(
              in.readUTF(),
              in.readInt(),
              in.readLong(),
              enumConstant(TaskState.values(), in.readByte()),
              enumConstant(ExitReason.values(), in.readByte())));
    }
    return new MachineView(
        host,
        type,
        zone,
        spot,
        token,
        holdRevision,
        session,
        tokenAcknowledged,
        leaseExpired,
        schedulable,
        quarantined,
        retiring,
        unresponsive,
        idleSinceMs,
        free,
        images,
        unfinishedByPriority,
        preemptibleByPriority,
        tasks);
  }

  private static Map<String, Integer> readRoomByZone(DataInputStream in) throws IOException {
    Map<String, Integer> zones = new LinkedHashMap<>();
    for (int n = in.readByte(); n > 0; n--) {
      zones.put(in.readUTF(), in.readInt());
    }
    return zones;
  }

  private static <T> T enumConstant(T[] constants, int index) throws IOException {
    if (index < 0 || index >= constants.length) {
      throw new IOException("unknown enum code " + index);
    }
    return constants[index];
  }

  private static Resources readSize(DataInputStream in) throws IOException {
    return new Resources(in.readLong(), in.readLong(), in.readLong());
  }
}
