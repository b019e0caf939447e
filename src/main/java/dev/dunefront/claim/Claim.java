package dev.dunefront.claim;

import dev.dunefront.claim.Chunk.Placement;
import dev.dunefront.job.JobRecord;
import dev.dunefront.peer.Message;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.Size;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A job that this controller has claimed. */
final class Claim {
  /** An offer that waits to be taken or declined. */
  record Held(String holder, Message.Offer offer) {}

  /** Why an attempt is over. */
  enum End {
    DONE,
    STOPPED,
    FAILED,
    REFUSED,
    GONE
  }

  /** An end to be recorded; a hold stamp above 0 is a condition of the proof. */
  record Ended(int number, Placement placement, End end, long holdStamp) {}

  /** What is known of a placed task beyond its record. */
  static final class Live {
    final Placement placement;
    Message.State state = Message.State.PENDING;
    double runningSince;
    double probedAt;
    double stoppedAt;
    boolean ending;

    Live(Placement placement) {
      this.placement = placement;
    }
  }

  final JobSpec spec;
  final Size size;
  JobRecord record;
  long stamp;
  boolean loading;
  boolean flying;
  boolean choosing;
  boolean dropped;
  final TreeMap<Integer, Chunk> chunks = new TreeMap<>();

  /** Tasks that are done or placed. */
  final BitSet busy = new BitSet();

  int done;
  final Map<Integer, Live> live = new HashMap<>();
  final List<Held> offers = new ArrayList<>();
  final List<Ended> ends = new ArrayList<>();

  /** Wants parked, by machine. */
  final Map<String, Integer> parked = new HashMap<>();

  final Map<String, Double> avoid = new HashMap<>();
  final Set<String> failedOn = new HashSet<>();
  int reach;
  int rank = Urgencies.IN_TIME;
  double nextTick;
  double unservedSince;
  double notBefore;
  double preemptedAt;
  int failures;

  Claim(JobRecord record, long stamp, int reach, double now) {
    this.record = record;
    this.spec = record.spec();
    this.size = spec.size();
    this.stamp = stamp;
    this.reach = reach;
    this.unservedSince = now;
    this.nextTick = now;
  }

  String id() {
    return spec.id();
  }

  boolean open() {
    return record.status() == JobRecord.Status.OPEN;
  }

  /** Tasks that are neither done nor placed. */
  int unstarted() {
    return open() ? spec.tasks() - busy.cardinality() : 0;
  }

  /** A job whose tasks fail wherever they run, as far as has been seen. */
  boolean suspect() {
    return failedOn.size() >= 2 && done == 0;
  }

  void install(int index, Chunk chunk) {
    Chunk old = chunks.put(index, chunk);
    int base = index * Chunk.TASKS;
    done += chunk.done.cardinality() - (old == null ? 0 : old.done.cardinality());
    busy.clear(base, base + Chunk.TASKS);
    chunk.done.stream().forEach(n -> busy.set(base + n));
    for (int n = base; n < base + Chunk.TASKS && n < spec.tasks(); n++) {
      Placement p = chunk.placed.get(n - base);
      if (p == null) {
        live.remove(n);
      } else {
        busy.set(n);
        Live known = live.get(n);
        if (known == null || !known.placement.equals(p)) {
          live.put(n, new Live(p));
        }
      }
    }
  }

  void forgetChunks() {
    chunks.clear();
    busy.clear();
    live.clear();
    ends.clear();
    done = 0;
  }
}
