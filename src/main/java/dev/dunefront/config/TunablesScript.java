package dev.dunefront.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.luaj.vm2.Globals;
import org.luaj.vm2.LoadState;
import org.luaj.vm2.LuaError;
import org.luaj.vm2.LuaTable;
import org.luaj.vm2.LuaValue;
import org.luaj.vm2.Varargs;
import org.luaj.vm2.compiler.LuaC;
import org.luaj.vm2.lib.BaseLib;
import org.luaj.vm2.lib.DebugLib;
import org.luaj.vm2.lib.MathLib;
import org.luaj.vm2.lib.PackageLib;
import org.luaj.vm2.lib.StringLib;
import org.luaj.vm2.lib.TableLib;
import org.luaj.vm2.lib.ThreeArgFunction;

/**
 * An operator's script: Lua in which each assignment to a global name sets a tunable. It can
 * compute, but neither read files nor load code nor run for ever.
 */
public final class TunablesScript {
  private static final long MAX_INSTRUCTIONS = 5_000_000;

  private TunablesScript() {}

  public static Tunables load(Path file) throws InvalidSettingException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new InvalidSettingException("script " + file + " cannot be read");
    }
    return run(text, file.getFileName().toString());
  }

  /** Runs a script; errors name it and the line. */
  public static Tunables run(String text, String name) throws InvalidSettingException {
    Map<String, Double> changed = new HashMap<>();
    Globals globals = new Globals();
    globals.load(new BaseLib());
    globals.load(new PackageLib());
    globals.load(new TableLib());
    globals.load(new StringLib());
    globals.load(new MathLib());
    globals.load(new InstructionLimit());
    for (String unsafe :
        new String[] {
          "debug", "package", "require", "dofile", "loadfile", "load", "collectgarbage"
        }) {
      globals.set(unsafe, LuaValue.NIL);
    }
    LoadState.install(globals);
    LuaC.install(globals);
    LuaTable rules = new LuaTable();
    rules.set(
        LuaValue.NEWINDEX,
        new ThreeArgFunction() {
          @Override
          public LuaValue call(LuaValue table, LuaValue key, LuaValue value) {
            try {
              if (!value.isnumber()) {
                Tunables.validate(key.tojstring(), Double.NaN);
              }
              Tunables.validate(key.tojstring(), value.todouble());
            } catch (InvalidSettingException e) {
              throw new LuaError(e.getMessage(), 1);
            }
            changed.put(key.tojstring(), value.todouble());
            return LuaValue.NIL;
          }
        });
    // The globals themselves must be the script's environment, or the step limit is not heeded.
    globals.setmetatable(rules);
    try {
      globals.load(text, "@" + name).call();
    } catch (LuaError e) {
      throw new InvalidSettingException(
          "script " + e.getMessage().lines().findFirst().orElse(name).replace("@" + name, name));
    } catch (StackOverflowError e) {
      throw new InvalidSettingException("script " + name + " calls itself too deeply");
    }
    return Tunables.withOverrides(changed);
  }

  private static final class InstructionLimit extends DebugLib {
    private long instructions;

    @Override
    public void onInstruction(int pc, Varargs v, int top) {
      if (++instructions > MAX_INSTRUCTIONS) {
        throw new LuaError("runs for too long");
      }
      super.onInstruction(pc, v, top);
    }
  }
}
