package org.catkinlift.routes;

import java.util.HashMap;
import java.util.Map;
import org.catkinlift.model.ServiceName;

/**
 * Distributes the requests of a route over its services by smooth weighted round-robin.
 *
 * <p>For each request, every target earns credit equal to its weight, and the target with the most
 * credit is selected and pays the total of the weights. The shares are therefore accurate even over
 * a short sequence of requests. Confined to one thread.
 */
public final class WeightedTargetSelector {
  private final Map<String, Map<ServiceName, Double>> credits = new HashMap<>();

  /**
   * Returns the service of the next request of a route.
   *
   * @param route the route
   * @return one of its services
   */
  public ServiceName next(Route route) {
    if (route.targets().size() == 1) {
      return route.targets().get(0).service();
    }
    Map<ServiceName, Double> credit = credits.computeIfAbsent(route.name(), n -> new HashMap<>());
    double total = 0;
    WeightedTarget best = route.targets().get(0);
    double highestCredit = Double.NEGATIVE_INFINITY;
    for (WeightedTarget target : route.targets()) {
      total += target.weight();
      double currentCredit = credit.merge(target.service(), target.weight(), Double::sum);
      if (currentCredit > highestCredit) {
        highestCredit = currentCredit;
        best = target;
      }
    }
    credit.merge(best.service(), -total, Double::sum);
    return best.service();
  }
}
