package org.catkinlift.placement;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.ServiceName;

/**
 * Plans the home cell of each slot by weighted rendezvous hashing with quotas.
 *
 * <p>The quota of a cell is its share of the total weight, so cells get slots exactly in proportion
 * to their capacity. With plain rendezvous hashing of 1,024 slots over three cells, shares are off
 * by 4 % (one standard deviation), which would use up most of the imbalance target. Stateless.
 */
public final class HomeMapPlanner {
  private HomeMapPlanner() {}

  /**
   * Creates the first home map of a service.
   *
   * @param service the service
   * @param slotCount the number of slots
   * @param weights the capacity of each cell, all positive; at least one cell
   * @return the home map, with version 1
   */
  public static HomeMap create(
      ServiceName service, int slotCount, ImmutableMap<CellId, Double> weights) {
    Map<CellId, Integer> freeQuota = quotas(slotCount, weights);
    List<CellId> homes = new ArrayList<>(Collections.nCopies(slotCount, null));
    IntStream.range(0, slotCount)
        .forEach(slot -> homes.set(slot, assignCell(slot, freeQuota, weights)));
    return new HomeMap(service, 1, ImmutableList.copyOf(homes));
  }

  /**
   * Plans a bounded change of a home map towards new weights.
   *
   * <p>Slots of cells without a weight always move. Beyond them, at most {@code budget} slots move,
   * and only from cells above their quota to cells below it.
   *
   * @param present the current home map
   * @param weights the capacity of each cell, all positive
   * @param budget the maximum number of slots to move from cells that keep a weight
   * @return the next home map; the current one if nothing moves
   */
  public static HomeMap change(HomeMap present, ImmutableMap<CellId, Double> weights, int budget) {
    if (weights.isEmpty()) {
      return present;
    }
    Map<CellId, Integer> freeQuota = quotas(present.homes().size(), weights);
    present.homes().forEach(c -> freeQuota.computeIfPresent(c, (cell, remaining) -> remaining - 1));
    List<CellId> homes = new ArrayList<>(present.homes());
    int remaining = budget;
    for (int slot : slotsWithoutHomeFirst(present, weights)) {
      CellId home = homes.get(slot);
      boolean lacksHome = !weights.containsKey(home);
      boolean surplus = !lacksHome && freeQuota.get(home) < 0 && remaining > 0;
      if (!lacksHome && !surplus) {
        continue;
      }
      remaining -= surplus ? 1 : 0;
      homes.set(slot, assignCell(slot, freeQuota, weights));
      freeQuota.computeIfPresent(home, (c, r) -> r + 1);
    }
    if (homes.equals(present.homes())) {
      return present;
    }
    return new HomeMap(present.service(), present.version() + 1, ImmutableList.copyOf(homes));
  }

  /**
   * Returns the slots, those without a valid home first, so that they get free quota before others
   * move.
   */
  private static ImmutableList<Integer> slotsWithoutHomeFirst(
      HomeMap present, ImmutableMap<CellId, Double> weights) {
    return IntStream.range(0, present.homes().size())
        .boxed()
        .sorted(Comparator.comparing(s -> weights.containsKey(present.homes().get(s))))
        .collect(toImmutableList());
  }

  private static Map<CellId, Integer> quotas(int slots, ImmutableMap<CellId, Double> weights) {
    double total = weights.values().stream().mapToDouble(Double::doubleValue).sum();
    Map<CellId, Integer> quotas = new HashMap<>();
    double sum = 0;
    for (CellId cell : ImmutableList.sortedCopyOf(weights.keySet())) {
      long before = Math.round(sum / total * slots);
      sum += weights.get(cell);
      quotas.put(cell, (int) (Math.round(sum / total * slots) - before));
    }
    return quotas;
  }

  /**
   * Assigns a slot to the cell with the highest score among those with free quota, or among all
   * cells if there is none, and uses up one slot of its quota.
   */
  private static CellId assignCell(
      int slot, Map<CellId, Integer> freeQuota, ImmutableMap<CellId, Double> weights) {
    Comparator<CellId> byScore =
        Comparator.<CellId>comparingDouble(c -> score(slot, c, weights.get(c)))
            .thenComparing(Comparator.naturalOrder());
    CellId chosen =
        weights.keySet().stream()
            .filter(c -> freeQuota.get(c) > 0)
            .max(byScore)
            .or(() -> weights.keySet().stream().max(byScore))
            .orElseThrow();
    freeQuota.merge(chosen, -1, Integer::sum);
    return chosen;
  }

  private static double score(int slot, CellId cell, double weight) {
    long hash =
        Hashing.murmur3_128()
            .newHasher()
            .putInt(slot)
            .putUnencodedChars(cell.value())
            .hash()
            .asLong();
    double uniform = ((hash >>> 11) + 0.5) / (1L << 53);
    return -weight / Math.log(uniform);
  }
}
