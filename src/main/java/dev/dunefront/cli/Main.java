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
      // The usual command line bypasses picocli: its classes are too old for the class data
      // archive, and loading them doubles the startup time on a small share of a core.
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
      LOG.log(Level.ERROR, "startup failed", e);
      return 1;
    }
    return -1;
  }

  /** Time after which the HTTP server starts even if the state is not loaded yet. */
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
    LoopWatchdog loopWatchdog = new LoopWatchdog();
    DecisionLock decisionLock = new DecisionLock(loopWatchdog::recordFailure);
    // Distinguishes the writes of this process from those of its predecessors.
    String writeIdPrefix = settings.node() + "-" + UUID.randomUUID().toString().substring(0, 13);
    HttpStateStore store =
        new HttpStateStore(settings, caller, timers, decisionLock, writeIdPrefix);
    XnioPeers[] peers = new XnioPeers[1];
    Controller controller =
        new Controller(
            settings,
            tunables,
            store,
            caller,
            timers,
            decisionLock,
            loopWatchdog,
            (lock, listener) -> peers[0] = new XnioPeers(settings, worker, timers, lock, listener));
    peers[0].start();
    thread.execute(controller::start);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(thread, controller)));
    double listenBy = timers.now() + STATE_LOAD_TIMEOUT_S;
    thread.execute(
        () -> startHttpServerWhenLoaded(settings, worker, timers, buffers, controller, listenBy));
  }

  /** How long the shutdown waits for the state service to record the handover of duties. */
  private static final long SHUTDOWN_TIMEOUT_MS = 400;

  /**
   * Hands over this controller's duties, which would otherwise have no holder until its lease
   * expires.
   */
  private static void shutDown(XnioIoThread thread, Controller controller) {
    CountDownLatch handedOver = new CountDownLatch(1);
    thread.execute(() -> controller.handOverDuties(handedOver::countDown));
    try {
      handedOver.await(SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Starts the HTTP server once the state is loaded, or at {@code listenBy} at the latest. Until
   * then every request would have to be refused, at the expense of the CPU time that loading the
   * state needs.
   */
  private static void startHttpServerWhenLoaded(
      Settings settings,
      XnioWorker worker,
      XnioTimers timers,
      DefaultByteBufferPool buffers,
      Controller controller,
      double listenBy) {
    if (!controller.hasLoadedState() && timers.now() < listenBy) {
      timers.after(
          0.02,
          () -> startHttpServerWhenLoaded(settings, worker, timers, buffers, controller, listenBy));
      return;
    }
    try {
      HttpServer.start(worker, buffers, settings.listen(), controller::handle);
      LOG.log(Level.INFO, "{0} listens on {1}", settings.node(), settings.listen());
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "cannot listen on " + settings.listen(), e);
      System.exit(1);
    }
  }

  /** Validates a settings file and a script without starting a controller. */
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
        System.out.println("settings of " + s.node() + " are valid");
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
