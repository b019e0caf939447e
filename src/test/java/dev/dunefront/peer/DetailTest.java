package dev.dunefront.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.peer.Message.View;
import dev.dunefront.wire.Size;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Levels of detail at which a change of a machine is sent. */
class DetailTest {
  private static final Size ROOM = new Size(4, 0, 4);

  private static View view(
      boolean open,
      long idleSinceMs,
      Size free,
      String image,
      int urgent,
      int young,
      int yielding) {
    return new View(
        "h",
        "t",
        "z",
        false,
        1,
        1,
        1,
        true,
        false,
        open,
        false,
        false,
        false,
        idleSinceMs,
        free,
        List.of(image),
        List.of(0, urgent, 0, yielding),
        List.of(0, 0, young, yielding),
        List.of());
  }

  /** Levels at which the change from one view to the other is sent. */
  private static List<Detail> toldAt(View before, View now) {
    List<Detail> levels = new ArrayList<>();
    for (Detail level : Detail.values()) {
      if (level.differs(now, before)) {
        levels.add(level);
      }
    }
    return levels;
  }

  @Test
  void whatProofsRestOnIsToldToAll() {
    View open = view(true, 0, ROOM, "i", 0, 0, 0);
    View closed = view(false, 0, ROOM, "i", 0, 0, 0);
    assertEquals(List.of(Detail.values()), toldAt(open, closed));
    assertEquals(List.of(), toldAt(open, view(true, 0, ROOM, "i", 0, 0, 0)));
  }

  @Test
  void roomIsToldToThoseWhoLookForIt() {
    View free = view(true, 0, ROOM, "i", 0, 0, 0);
    View full = view(true, 0, Size.NONE, "i", 0, 0, 0);
    List<Detail> capacityLevels = List.of(Detail.ROOM, Detail.LOAD);
    assertEquals(capacityLevels, toldAt(free, full));
    assertEquals(capacityLevels, toldAt(full, free));
    assertEquals(
        capacityLevels,
        toldAt(full, view(true, 0, Size.NONE, "i", 0, 0, 1)),
        "room can be made by preemption");
    assertEquals(
        capacityLevels,
        toldAt(free, view(true, 0, ROOM, "j", 0, 0, 0)),
        "tasks with a cached image start faster");
  }

  @Test
  void theRestIsToldToThoseWhoAskForEverything() {
    View free = view(true, 0, ROOM, "i", 0, 0, 0);
    View full = view(true, 0, Size.NONE, "i", 0, 0, 0);
    List<Detail> fullLevel = List.of(Detail.LOAD);
    assertEquals(fullLevel, toldAt(full, view(true, 0, Size.NONE, "j", 0, 0, 0)));
    assertEquals(fullLevel, toldAt(full, view(true, 0, Size.NONE, "i", 0, 1, 0)));
    assertEquals(fullLevel, toldAt(full, view(true, 0, Size.NONE, "i", 1, 0, 0)));
    assertEquals(fullLevel, toldAt(free, view(true, 7, ROOM, "i", 0, 0, 0)));
  }
}
