package dev.dunefront.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Settings and scripts as operators may write them. */
class SettingsTest {
  private static final String VALID =
      """
      host_name = "n0"
      site = "a"
      listen = "10.0.0.1:8080"
      peer_bind = "10.0.0.1:8081"
      something_new = [1, 2]
      [[others]]
      host_name = "n1"
      site = "b"
      address = "10.0.0.2:8081"
      [outside]
      cloud = "10.2.0.2:1"
      state = "10.2.0.1:1"
      [facts]
      initial_size = 2
      [[facts.teams]]
      name = "t"
      cpus_max = 4
      [[facts.objectives]]
      kind = "finished"
      class = "c"
      within_s = 90.0
      share = 0.9
      [[facts.objectives]]
      kind = "unheard_of"
      [facts.workers]
      report_s = 2.5
      lease_s = 18.0
      cancel_s = 38.0
      [facts.state]
      rps = 150.0
      write_rps = 50.0
      value_kb = 32.0
      txn_ops = 32
      [facts.cloud]
      rps = 4.0
      list_lag_s = 4.0
      [facts.limits]
      cores = 0.132
      memory_mb = 263.0
      fd_limit = 1500
      """;

  @Test
  void validFileIsReadAndUnknownFieldsAreIgnored() throws InvalidSettingException {
    Settings s = Settings.parse(VALID);
    assertEquals("n0", s.node());
    assertEquals(2, s.controllerCount());
    assertEquals(8081, s.peers().get(0).address().getPort());
    assertTrue(s.team("t").orElseThrow().limited());
    assertEquals(90, s.objectives().get(0).withinS());
    assertEquals(1, s.objectives().size());
  }

  @Test
  void invalidFileIsRejectedNamingTheField() {
    assertRejected(VALID.replace("lease_s = 18.0", ""), "facts.workers.lease_s is missing");
    assertRejected(VALID.replace("lease_s = 18.0", "lease_s = -1"), "facts.workers.lease_s");
    assertRejected(VALID.replace("txn_ops = 32", "txn_ops = 3.5"), "facts.state.txn_ops");
    assertRejected(VALID.replace("10.0.0.1:8080", "here:80"), "listen");
    assertRejected(VALID.replace("10.0.0.2:8081", "10.0.0.2"), "others[0].address");
    assertRejected(VALID.replace("\"n1\"", "\"n0\""), "a second time");
    assertRejected(VALID.replace("cpus_max = 4", "cpus_max = \"x\""), "facts.teams[0].cpus_max");
    assertRejected("= nonsense", "not TOML");
    InvalidSettingException e =
        assertThrows(
            InvalidSettingException.class, () -> Settings.load(Path.of("no", "such", "file")));
    assertTrue(e.getMessage().contains("does not exist"));
  }

  private static void assertRejected(String toml, String why) {
    InvalidSettingException e =
        assertThrows(InvalidSettingException.class, () -> Settings.parse(toml));
    assertTrue(e.getMessage().contains(why), e.getMessage());
  }

  @Test
  void scriptSetsTunables() throws InvalidSettingException {
    Tunables t =
        TunablesScript.run("local n = 2\nreach = n * 3\ntick_s = math.max(1, 1.5)", "o.lua");
    assertEquals(6, t.reach());
    assertEquals(1.5, t.tickS());
    assertEquals(Tunables.DEFAULTS.headroom(), t.headroom());
  }

  @Test
  void invalidScriptIsRejectedNamingFileAndLine() {
    assertScriptRejected("\nreech = 4", "o.lua:2", "reech is not a setting");
    assertScriptRejected("reach = 0", "o.lua:1", "reach must be a whole number from 1 to 1000");
    assertScriptRejected("reach = 'many'", "o.lua:1", "reach must be");
    assertScriptRejected("x y z", "o.lua:1", "");
    assertScriptRejected("while true do end", "", "runs for too long");
    assertScriptRejected("load('reach = 2')()", "o.lua:1", "");
    assertScriptRejected("io.open('f')", "o.lua:1", "");
    assertScriptRejected("require('x')", "o.lua:1", "");
  }

  private static void assertScriptRejected(String script, String where, String why) {
    InvalidSettingException e =
        assertThrows(InvalidSettingException.class, () -> TunablesScript.run(script, "o.lua"));
    assertTrue(e.getMessage().contains(where), e.getMessage());
    assertTrue(e.getMessage().contains(why), e.getMessage());
  }
}
