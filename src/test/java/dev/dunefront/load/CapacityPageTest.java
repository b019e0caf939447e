package dev.dunefront.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against a capacity page whose tables were edited by hand or not regenerated after a change
 * of the measured values or of {@link CapacityPage}, and against a scaled site file with other
 * changes than the requested ones.
 */
class CapacityPageTest {
  @Test
  void pageMatchesTheTablesGeneratedFromMeasuredValues() throws IOException {
    String page = Files.readString(CapacityPage.PAGE);
    assertEquals(CapacityPage.withTables(page, CapacityPage.MEASURED), page);
    assertTrue(page.contains("### Worked out at the letter's size"));
  }

  @Test
  void scaledSiteFileChangesOnlyTheRequestedCounts() {
    List<String> site =
        List.of(
            "[nodes]",
            "count = 5",
            "cpu_share = 0.17",
            "[[capacity]]",
            "count = 10",
            "spot = 3",
            "[[teams]]",
            "name = \"one\"",
            "weight = 0.8",
            "cpus_max = 4000.0",
            "[[jobs]]",
            "cpus = 16.0",
            "tasks = { median = 35.0, p95 = 120.0, max = 250.0 }",
            "name = \"bulk\"",
            "arrivals = { rate = 0.5 }",
            "initial = 4",
            "teams = [\"one\"]",
            "[[targets]]",
            "count = 0");
    assertEquals(site, SiteFileScaler.scaledLines(site, Map.of()));
    assertEquals(
        List.of(
            "[nodes]",
            "count = 14",
            "cpu_share = 0.17",
            "[[capacity]]",
            "count = 20",
            "spot = 6",
            "[[teams]]",
            "name = \"one\"",
            "weight = 0.8",
            "cpus_max = 4000.0",
            "[[teams]]",
            "name = \"one-001\"",
            "weight = 0.8",
            "cpus_max = 4000.0",
            "[[jobs]]",
            "cpus = 16.0",
            "tasks = { median = 9.0, p95 = 13.5, max = 18.0 }",
            "name = \"bulk\"",
            "arrivals = { rate = 1.5 }",
            "initial = 12",
            "teams = [\"one\", \"one-001\"]",
            "[[targets]]",
            "count = 0"),
        SiteFileScaler.scaledLines(
            site,
            Map.of(
                "controllers",
                14.0,
                "machines",
                2.0,
                "teams",
                2.0,
                "rates",
                3.0,
                "bulk.tasks",
                9.0)));
  }
}
