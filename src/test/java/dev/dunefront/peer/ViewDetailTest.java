package dev.dunefront.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.peer.Message.MachineView;
import dev.dunefront.wire.Resources;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Levels of detail at which a change of a machine is sent. */
class ViewDetailTest {
  private static final Resources FREE = new Resources(4, 0, 4);

  private static MachineView view(
      boolean schedulable,
      long idleSinceMs,
      Resources free,
      String image,
      int urgent,
      int preemptibleNormal,
      int preemptibleBestEffort) {
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
        schedulable,
        false,
        false,
        false,
        idleSinceMs,
        free,
        List.of(image),
        List.of(0, urgent, 0, preemptibleBestEffort),
        List.of(0, 0, preemptibleNormal, preemptibleBestEffort),
        List.of());
  }

  /** Levels at which the change from one view to the other is sent. */
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
    MachineView schedulable = view(true, 0, FREE, "i", 0, 0, 0);
    MachineView unschedulable = view(false, 0, FREE, "i", 0, 0, 0);
    assertEquals(List.of(ViewDetail.values()), levelsNotified(schedulable, unschedulable));
    assertEquals(List.of(), levelsNotified(schedulable, view(true, 0, FREE, "i", 0, 0, 0)));
  }

  @Test
  void capacityChangesAreSentFromCapacityLevel() {
    MachineView free = view(true, 0, FREE, "i", 0, 0, 0);
    MachineView full = view(true, 0, Resources.NONE, "i", 0, 0, 0);
    List<ViewDetail> capacityLevels = List.of(ViewDetail.CAPACITY, ViewDetail.FULL);
    assertEquals(capacityLevels, levelsNotified(free, full));
    assertEquals(capacityLevels, levelsNotified(full, free));
    assertEquals(
        capacityLevels,
        levelsNotified(full, view(true, 0, Resources.NONE, "i", 0, 0, 1)),
        "room can be made by preemption");
    assertEquals(
        capacityLevels,
        levelsNotified(free, view(true, 0, FREE, "j", 0, 0, 0)),
        "tasks with a cached image start faster");
  }

  @Test
  void otherChangesAreSentAtFullLevelOnly() {
    MachineView free = view(true, 0, FREE, "i", 0, 0, 0);
    MachineView full = view(true, 0, Resources.NONE, "i", 0, 0, 0);
    List<ViewDetail> fullLevel = List.of(ViewDetail.FULL);
    assertEquals(fullLevel, levelsNotified(full, view(true, 0, Resources.NONE, "j", 0, 0, 0)));
    assertEquals(fullLevel, levelsNotified(full, view(true, 0, Resources.NONE, "i", 0, 1, 0)));
    assertEquals(fullLevel, levelsNotified(full, view(true, 0, Resources.NONE, "i", 1, 0, 0)));
    assertEquals(fullLevel, levelsNotified(free, view(true, 7, FREE, "i", 0, 0, 0)));
  }
}
