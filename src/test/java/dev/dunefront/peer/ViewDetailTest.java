package dev.dunefront.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.peer.Message.MachineView;
import dev.dunefront.wire.Resources;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which change of a machine is news to whom. */
class ViewDetailTest {
  private static final Resources FREE = new Resources(4, 0, 4);

  private static MachineView view(
      boolean open,
      long idleSinceMs,
      Resources free,
      String image,
      int urgent,
      int young,
      int yielding) {
    return new MachineView(
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

  /** The levels to which the change from one view to the other is news. */
  private static List<ViewDetail> levelsNotified(MachineView before, MachineView now) {
    List<ViewDetail> levels = new ArrayList<>();
    for (ViewDetail level : ViewDetail.values()) {
      if (level.hasChanged(now, before)) {
        levels.add(level);
      }
    }
    return levels;
  }

  @Test
  void statusChangesAreSentAtEveryLevel() {
    MachineView open = view(true, 0, FREE, "i", 0, 0, 0);
    MachineView closed = view(false, 0, FREE, "i", 0, 0, 0);
    assertEquals(List.of(ViewDetail.values()), levelsNotified(open, closed));
    assertEquals(List.of(), levelsNotified(open, view(true, 0, FREE, "i", 0, 0, 0)));
  }

  @Test
  void capacityChangesAreSentFromCapacityLevel() {
    MachineView free = view(true, 0, FREE, "i", 0, 0, 0);
    MachineView full = view(true, 0, Resources.NONE, "i", 0, 0, 0);
    List<ViewDetail> seekers = List.of(ViewDetail.CAPACITY, ViewDetail.FULL);
    assertEquals(seekers, levelsNotified(free, full));
    assertEquals(seekers, levelsNotified(full, free));
    assertEquals(
        seekers,
        levelsNotified(full, view(true, 0, Resources.NONE, "i", 0, 0, 1)),
        "room can be made");
    assertEquals(
        seekers, levelsNotified(free, view(true, 0, FREE, "j", 0, 0, 0)), "starts are warm there");
  }

  @Test
  void otherChangesAreSentAtFullLevelOnly() {
    MachineView free = view(true, 0, FREE, "i", 0, 0, 0);
    MachineView full = view(true, 0, Resources.NONE, "i", 0, 0, 0);
    List<ViewDetail> all = List.of(ViewDetail.FULL);
    assertEquals(all, levelsNotified(full, view(true, 0, Resources.NONE, "j", 0, 0, 0)));
    assertEquals(all, levelsNotified(full, view(true, 0, Resources.NONE, "i", 0, 1, 0)));
    assertEquals(all, levelsNotified(full, view(true, 0, Resources.NONE, "i", 1, 0, 0)));
    assertEquals(all, levelsNotified(free, view(true, 7, FREE, "i", 0, 0, 0)));
  }
}
