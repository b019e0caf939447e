package review2;

import java.nio.file.Path;

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Case {
  interface Play {
    int run(Site site, boolean trouble) throws Exception;
  }

  private Case() {}

  static void run(String[] args, Play play) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Site site = new Site();
    site.open(Path.of(args[0]));
    site.log(trouble ? "with the disruption" : "without the disruption");
    int code = 2;
    try {
      code = play.run(site, trouble);
    } catch (Exception e) {
      site.log("the case could not run: " + e);
      e.printStackTrace();
    } finally {
      site.broken.forEach(b -> site.log("broken: " + b));
      site.close();
      site.log("exit " + code);
      Runtime.getRuntime().halt(code);
    }
  }
}
