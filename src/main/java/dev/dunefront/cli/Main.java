package dev.dunefront.cli;

import dev.dunefront.config.InvalidSettingException;
import dev.dunefront.config.Settings;
import dev.dunefront.config.Tunables;
import dev.dunefront.config.TunablesScript;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.DisabledMBeanServerBuilder;
import dev.dunefront.net.HttpServer;
import dev.dunefront.net.LoopWatchdog;
import dev.dunefront.net.UndertowHttpCaller;
import dev.dunefront.net.XnioTimers;
import dev.dunefront.peer.XnioPeers;
import dev.dunefront.store.HttpStateStore;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line. */
@Command(
    name = "dunefront",
    description = "A cluster scheduler: want-books held per machine, one offer per freed room.",
    mixinStandardHelpOptions = true,
    version = "dunefront 0.1.0",
    subcommands = {Main.CheckCommand.class, RehearseCommand.class})
public final class Main implements Callable<Integer> {
  private static final System.Logger LOG = System.getLogger(Main.class.getName());

  @Option(names = "--config", paramLabel = "FILE", description = "Run with this settings file.")
  private Path config;

  @Option(
      names = "--script",
      paramLabel = "FILE",
      description = "An operator's script (Lua) that changes tunables.")
  private Path script;

  public static void main(String[] args) {
    int code;
    if (args.length == 2 && args[0].equals("--config")) {
      // The daemon's own call does without the parser: its classes are too old for the class
      // archive, and on a small share of a core loading them doubles the time of a start.
      Main main = new Main();
      main.config = Path.of(args[1]);
      code = main.call();
    } else {
      code = new CommandLine(new Main()).execute(args);
    }
    if (code >= 0) {
      System.exit(code);
    }
  }

  @Override
  public Integer call() {
    if (config == null) {
      System.err.println("dunefront: --config FILE is missing; see --help");
      return 2;
    }
    Settings settings;
    Tunables tunables;
    try {
      settings = Settings.load(config);
      tunables = script == null ? Tunables.DEFAULTS : TunablesScript.load(script);
    } catch (InvalidSettingException e) {
      System.err.println("dunefront: " + e.getMessage());
      return 2;
    }
    LogSetup.configure(System.getenv("LOG_LEVEL"));
    try {
      run(settings, tunables);
    } catch (IOException | RuntimeException e) {
      LOG.log(Level.ERROR, "cannot start", e);
      return 1;
    }
    return -1;
  }

  /** How long the first requests wait at most for the state to be read. */
  private static final double STATE_LOAD_TIMEOUT_S = 2;

  static void run(Settings settings, Tunables tunables) throws IOException {
    DisabledMBeanServerBuilder.install();
    XnioWorker worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.REUSE_ADDRESSES, true)
                    .getMap());
    XnioIoThread thread = worker.getIoThread();
    XnioTimers timers = new XnioTimers(thread);
    DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, 8192, 64, 4);
    UndertowHttpCaller caller = new UndertowHttpCaller(thread, buffers, timers);
    LoopWatchdog loops = new LoopWatchdog();
    DecisionLock decisionLock = new DecisionLock(loops::recordFailure);
    String marks = settings.node() + "-" + UUID.randomUUID().toString().substring(0, 13);
    HttpStateStore store = new HttpStateStore(settings, caller, timers, decisionLock, marks);
    XnioPeers[] links = new XnioPeers[1];
    Controller daemon =
        new Controller(
            settings,
            tunables,
            store,
            caller,
            timers,
            decisionLock,
            loops,
            (w, listener) -> links[0] = new XnioPeers(settings, worker, timers, w, listener));
    links[0].start();
    thread.execute(daemon::start);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(thread, daemon)));
    double until = timers.now() + STATE_LOAD_TIMEOUT_S;
    thread.execute(
        () -> startHttpServerWhenLoaded(settings, worker, timers, buffers, daemon, until));
  }

  /** How long a process that is told to end waits for the state service. */
  private static final long SHUTDOWN_TIMEOUT_MS = 400;

  /** Hands over what only one controller may do, so that it is not vacant for a whole lease. */
  private static void shutDown(XnioIoThread thread, Controller daemon) {
    CountDownLatch left = new CountDownLatch(1);
    thread.execute(() -> daemon.handOverDuties(left::countDown));
    try {
      left.await(SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Requests are taken once there is something to answer them with, or after a while in any case.
   * Before, each would cost a refusal out of the little processor time that reading the state
   * needs.
   */
  private static void startHttpServerWhenLoaded(
      Settings settings,
      XnioWorker worker,
      XnioTimers timers,
      DefaultByteBufferPool buffers,
      Controller daemon,
      double until) {
    if (!daemon.hasLoadedState() && timers.now() < until) {
      timers.after(
          0.02, () -> startHttpServerWhenLoaded(settings, worker, timers, buffers, daemon, until));
      return;
    }
    try {
      HttpServer.start(worker, buffers, settings.listen(), daemon::handle);
      LOG.log(Level.INFO, "{0} listens on {1}", settings.node(), settings.listen());
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "cannot listen on " + settings.listen(), e);
      System.exit(1);
    }
  }

  /** Checks files without starting anything. */
  @Command(
      name = "check",
      description = "Check a settings file, and an operator's script, without starting.",
      mixinStandardHelpOptions = true)
  static final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The settings file.")
    private Path file;

    @Option(names = "--script", paramLabel = "FILE", description = "The operator's script.")
    private Path script;

    @Override
    public Integer call() {
      try {
        Settings s = Settings.load(file);
        System.out.println("settings of " + s.node() + " are in order");
        if (script != null) {
          System.out.println("script sets " + TunablesScript.load(script));
        }
        return 0;
      } catch (InvalidSettingException e) {
        System.err.println("dunefront: " + e.getMessage());
        return 2;
      }
    }
  }
}
