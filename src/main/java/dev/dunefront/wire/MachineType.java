package dev.dunefront.wire;

import java.util.List;

/** A type of machine in the cloud's catalog. */
public record MachineType(
    String name,
    Resources resources,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {

  public static MachineType fromDocument(Document d) throws MalformedMessageException {
    return new MachineType(
        d.text("label"),
        Resources.supply(
            d.amount("vcpus"), d.has("cards") ? d.amount("cards") : 0, d.amount("ram_gb")),
        d.has("cache_gb") ? d.amount("cache_gb") : 0,
        d.has("pull_gb_per_s") ? d.amount("pull_gb_per_s") : 0,
        d.has("rate") ? d.amount("rate") : 0,
        d.has("spot_price") ? d.amount("spot_price") : 0,
        d.has("boot_s") ? d.amount("boot_s") : 0,
        d.texts("sites"));
  }
}
