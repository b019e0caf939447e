package dev.dunefront.peer;

import dev.dunefront.wire.Priority;
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

/**
 * What controllers tell each other. A task is named by job and number; a hold by its baton, which
 * is never used twice for one machine.
 */
public sealed interface Message {

  /** Opens a link: who speaks. */
  record Hello(String node) implements Message {}

  record Ping() implements Message {}

  /** A task on a machine as its holder knows it; PENDING means that its start is under way. */
  record TaskState(String job, int number, long attempt, State state, Why why) {
    public boolean exited() {
      return state == State.EXITED;
    }

    @Override
    public boolean equals(Object o) {
      return o instanceof TaskState t
          && number == t.number
          && attempt == t.attempt
          && state == t.state
          && why == t.why
          && job.equals(t.job);
    }

    @Override
    public int hashCode() {
      return 31 * job.hashCode() + number;
    }
  }

  enum State {
    PENDING,
    FETCHING,
    RUNNING,
    SAVING,
    EXITED
  }

  enum Why {
    NONE,
    DONE,
    STOPPED,
    FAILED,
    REFUSED
  }

  /**
   * A held machine: what room it has, told to every controller when it changes, and those of its
   * tasks whose jobs the receiver has claimed or nobody is known to have claimed.
   */
  record View(
      String host,
      String type,
      String zone,
      boolean spot,
      long baton,
      long holdStamp,
      long tenure,
      /** The worker has reported under this baton and no order is in doubt. */
      boolean settled,
      /** The lease of this tenure is surely over. */
      boolean lost,
      /** Room is being dealt. */
      boolean open,
      /** Several jobs fail on it that run elsewhere. */
      boolean quarantined,
      /** Nothing runs on it and no room is dealt, for it is about to be returned. */
      boolean retiring,
      Size free,
      List<String> images,
      /** Unfinished tasks on it, by priority. */
      List<Integer> unfinished,
      /** Those of them that began so recently that they may give way. */
      List<Integer> young,
      List<TaskState> tasks)
      implements Message {
    /** Whether the other says the same of the machine itself, whatever tasks it shows. */
    public boolean saysTheSame(View o) {
      return o != null
          && baton == o.baton
          && holdStamp == o.holdStamp
          && tenure == o.tenure
          && settled == o.settled
          && lost == o.lost
          && open == o.open
          && quarantined == o.quarantined
          && retiring == o.retiring
          && free.equals(o.free)
          && images.equals(o.images)
          && unfinished.equals(o.unfinished)
          && young.equals(o.young);
    }

    /** How many young tasks there are of a lower priority. */
    public int youngBelow(Priority priority) {
      int n = 0;
      for (int p = priority.ordinal() + 1; p < young.size(); p++) {
        n += young.get(p);
      }
      return n;
    }

    /** Whether urgent tasks are on it. */
    public boolean runsUrgent() {
      for (Priority p : Priority.values()) {
        if (p.urgent() && p.ordinal() < unfinished.size() && unfinished.get(p.ordinal()) > 0) {
          return true;
        }
      }
      return false;
    }

    /** Whether nothing runs or is about to. */
    public boolean idle() {
      return unfinished.stream().allMatch(n -> n == 0);
    }

    public View withTasks(List<TaskState> shown) {
      return new View(
          host,
          type,
          zone,
          spot,
          baton,
          holdStamp,
          tenure,
          settled,
          lost,
          open,
          quarantined,
          retiring,
          free,
          images,
          unfinished,
          young,
          shown);
    }
  }

  /** The sender no longer holds the machine. */
  record Unheld(String host) implements Message {}

  /**
   * Parks wants for tasks of a job in a machine's book; a count of 0 withdraws them. The rank, 0
   * being first, orders wants within a priority by how much is still to be won by serving them.
   */
  record Want(String host, String job, int priority, int rank, Size size, int count)
      implements Message {}

  /** Room for one task of the job is set aside. */
  record Offer(long offer, String host, String job, long baton, long holdStamp, long tenure)
      implements Message {}

  record Decline(long offer, String host) implements Message {}

  /** The offer is being taken: its room is kept until the placement is recorded. */
  record Taking(long offer, String host) implements Message {}

  /** Takes an offer: the placement is recorded and the task may be started. */
  record Start(long offer, String host, long baton, String job, int number, long attempt)
      implements Message {}

  /** Asks whether an attempt that the holder's view lacks is surely gone. */
  record Probe(String host, long baton, String job, int number, long attempt) implements Message {}

  /** It is, and the holder will never start it under this baton. */
  record Absent(String host, long baton, long holdStamp, String job, int number, long attempt)
      implements Message {}

  record Stop(String host, String job, int number, long attempt, double graceS)
      implements Message {}

  /** The end of the attempt is recorded; the worker may forget it. */
  record Clear(String host, String job, int number, long attempt) implements Message {}

  /** The task failed where others of its job did not. */
  record Blame(String host, String job) implements Message {}

  /** A machine that the receiver holds has reported here: does the receiver still hear it? */
  record HoldAsk(String host) implements Message {}

  record HoldSay(String host, boolean held, double heardAgoS) implements Message {}

  /** A user was told that the job is cancelled. */
  record Cancelled(String job) implements Message {}

  /**
   * What a controller has waiting, for whoever rents machines, and machines on which it has placed
   * tasks and of which nobody tells.
   */
  record Demand(List<Waiting> waiting, List<String> unheard) implements Message {}

  /**
   * So many tasks wait for room. Where a job's tasks must be together or apart, {@code zones} says
   * how many of them each zone may still take.
   */
  record Waiting(String job, int tasks, Map<String, Integer> zones) {}

  /** A machine that is to be returned: if nothing is on it, it is closed for some seconds. */
  record Retire(String host) implements Message {}

  /** What has changed in the task counts of the sender's jobs, for users who ask elsewhere. */
  record Progress(List<Count> counts) implements Message {}

  record Count(String job, int done, int running) {}

  /** Asks to stop young tasks of lower priority, so that so many tasks of this size find room. */
  record Preempt(String host, int priority, Size size, int count) implements Message {}

  /**
   * Whether the state service serves the sender, how much of it the sender asks a second, and how
   * many machines the sender holds, and by how much its timers are late.
   */
  record Health(boolean stateServes, double requests, double writes, int held, double lagS)
      implements Message {}

  int MAX_RECORD = 4 << 20;

  static byte[] encode(Message m) {
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
      out.writeUTF(h.node);
    } else if (m instanceof Ping) {
      out.writeByte(2);
    } else if (m instanceof View v) {
      out.writeByte(3);
      out.writeUTF(v.host);
      out.writeUTF(v.type);
      out.writeUTF(v.zone);
      out.writeBoolean(v.spot);
      out.writeLong(v.baton);
      out.writeLong(v.holdStamp);
      out.writeLong(v.tenure);
      out.writeBoolean(v.settled);
      out.writeBoolean(v.lost);
      out.writeBoolean(v.open);
      out.writeBoolean(v.quarantined);
      out.writeBoolean(v.retiring);
      writeSize(out, v.free);
      out.writeShort(v.images.size());
      for (String image : v.images) {
        out.writeUTF(image);
      }
      writeCounts(out, v.unfinished);
      writeCounts(out, v.young);
      out.writeInt(v.tasks.size());
      for (TaskState t : v.tasks) {
        out.writeUTF(t.job);
        out.writeInt(t.number);
        out.writeLong(t.attempt);
        out.writeByte(t.state.ordinal());
        out.writeByte(t.why.ordinal());
      }
    } else if (m instanceof Unheld u) {
      out.writeByte(4);
      out.writeUTF(u.host);
    } else if (m instanceof Want w) {
      out.writeByte(5);
      out.writeUTF(w.host);
      out.writeUTF(w.job);
      out.writeByte(w.priority);
      out.writeByte(w.rank);
      writeSize(out, w.size);
      out.writeInt(w.count);
    } else if (m instanceof Offer o) {
      out.writeByte(6);
      out.writeLong(o.offer);
      out.writeUTF(o.host);
      out.writeUTF(o.job);
      out.writeLong(o.baton);
      out.writeLong(o.holdStamp);
      out.writeLong(o.tenure);
    } else if (m instanceof Decline d) {
      out.writeByte(7);
      out.writeLong(d.offer);
      out.writeUTF(d.host);
    } else if (m instanceof Taking t) {
      out.writeByte(21);
      out.writeLong(t.offer);
      out.writeUTF(t.host);
    } else if (m instanceof Start s) {
      out.writeByte(8);
      out.writeLong(s.offer);
      out.writeUTF(s.host);
      out.writeLong(s.baton);
      writeAttempt(out, s.job, s.number, s.attempt);
    } else if (m instanceof Probe p) {
      out.writeByte(9);
      out.writeUTF(p.host);
      out.writeLong(p.baton);
      writeAttempt(out, p.job, p.number, p.attempt);
    } else if (m instanceof Absent a) {
      out.writeByte(10);
      out.writeUTF(a.host);
      out.writeLong(a.baton);
      out.writeLong(a.holdStamp);
      writeAttempt(out, a.job, a.number, a.attempt);
    } else if (m instanceof Stop s) {
      out.writeByte(11);
      out.writeUTF(s.host);
      writeAttempt(out, s.job, s.number, s.attempt);
      out.writeDouble(s.graceS);
    } else if (m instanceof Clear c) {
      out.writeByte(12);
      out.writeUTF(c.host);
      writeAttempt(out, c.job, c.number, c.attempt);
    } else if (m instanceof Blame b) {
      out.writeByte(13);
      out.writeUTF(b.host);
      out.writeUTF(b.job);
    } else if (m instanceof HoldAsk a) {
      out.writeByte(14);
      out.writeUTF(a.host);
    } else if (m instanceof HoldSay s) {
      out.writeByte(15);
      out.writeUTF(s.host);
      out.writeBoolean(s.held);
      out.writeDouble(s.heardAgoS);
    } else if (m instanceof Retire r) {
      out.writeByte(22);
      out.writeUTF(r.host);
    } else if (m instanceof Cancelled c) {
      out.writeByte(16);
      out.writeUTF(c.job);
    } else if (m instanceof Preempt p) {
      out.writeByte(19);
      out.writeUTF(p.host);
      out.writeByte(p.priority);
      writeSize(out, p.size);
      out.writeInt(p.count);
    } else if (m instanceof Progress p) {
      out.writeByte(20);
      out.writeInt(p.counts.size());
      for (Count n : p.counts) {
        out.writeUTF(n.job);
        out.writeInt(n.done);
        out.writeInt(n.running);
      }
    } else if (m instanceof Health h) {
      out.writeByte(18);
      out.writeBoolean(h.stateServes);
      out.writeDouble(h.requests);
      out.writeDouble(h.writes);
      out.writeInt(h.held);
      out.writeDouble(h.lagS);
    } else if (m instanceof Demand d) {
      out.writeByte(17);
      out.writeInt(d.waiting.size());
      for (Waiting w : d.waiting) {
        out.writeUTF(w.job);
        out.writeInt(w.tasks);
        out.writeByte(w.zones.size());
        for (var zone : w.zones.entrySet()) {
          out.writeUTF(zone.getKey());
          out.writeInt(zone.getValue());
        }
      }
      out.writeInt(d.unheard.size());
      for (String host : d.unheard) {
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

  /** Throws on anything garbled, which closes the link and nothing else. */
  static Message decode(byte[] record) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(record));
    int kind = in.readByte();
    Message m =
        switch (kind) {
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
              new Stop(in.readUTF(), in.readUTF(), in.readInt(), in.readLong(), in.readDouble());
          case 12 -> new Clear(in.readUTF(), in.readUTF(), in.readInt(), in.readLong());
          case 13 -> new Blame(in.readUTF(), in.readUTF());
          case 14 -> new HoldAsk(in.readUTF());
          case 15 -> new HoldSay(in.readUTF(), in.readBoolean(), in.readDouble());
          case 16 -> new Cancelled(in.readUTF());
          case 22 -> new Retire(in.readUTF());
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
              all.add(new Count(in.readUTF(), in.readInt(), in.readInt()));
            }
            yield new Progress(all);
          }
          default -> throw new IOException("unknown record " + kind);
        };
    if (in.read() >= 0) {
      throw new IOException("bytes after the record");
    }
    return m;
  }

  private static View readView(DataInputStream in) throws IOException {
    String host = in.readUTF();
    String type = in.readUTF();
    String zone = in.readUTF();
    boolean spot = in.readBoolean();
    long baton = in.readLong();
    long stamp = in.readLong();
    long tenure = in.readLong();
    boolean settled = in.readBoolean();
    boolean lost = in.readBoolean();
    boolean open = in.readBoolean();
    boolean quarantined = in.readBoolean();
    boolean retiring = in.readBoolean();
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
        baton,
        stamp,
        tenure,
        settled,
        lost,
        open,
        quarantined,
        retiring,
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

  private static <T> T pick(T[] all, int index) throws IOException {
    if (index < 0 || index >= all.length) {
      throw new IOException("unknown code " + index);
    }
    return all[index];
  }

  private static Size readSize(DataInputStream in) throws IOException {
    return new Size(in.readLong(), in.readLong(), in.readLong());
  }
}
