package org.catkinlift.bench.control;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import org.catkinlift.gateway.peer.CoordinatorReply;
import org.catkinlift.gateway.peer.LoadReport;
import org.catkinlift.gateway.peer.PeerCodec;
import org.catkinlift.model.TenantName;
import org.catkinlift.quotas.QuotaLimiter;
import org.catkinlift.quotas.QuotaShareController;
import org.catkinlift.quotas.QuotaShares;
import org.catkinlift.shares.ShareGrant;
import org.catkinlift.shares.ShareReport;
import org.catkinlift.tenants.Quota;
import org.catkinlift.tenants.Tenant;

/**
 * Measures what quotas add to the reports and replies of a deployment, and the processor time of
 * the coordinator to decode, decide and encode them, at several numbers of hosts and tenants.
 */
public final class QuotaShareSlopes {
  private static final ImmutableList<Integer> HOSTS = ImmutableList.of(11, 44, 87);
  private static final ImmutableList<Integer> TENANTS = ImmutableList.of(0, 22, 43, 86);
  private static final double REQUESTS_PER_SECOND_AND_HOST = 20;
  private static final double USUAL_LOAD = 0.6;
  private static final int ENTRY_HOSTS_OF_TENANT = 20;
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);
  private static final Duration WARM_UP = Duration.ofSeconds(20);
  private static final Duration MEASURED = Duration.ofSeconds(30);
  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
  private static final double NANOS_PER_MILLISECOND = Duration.ofMillis(1).toNanos();
  private static final double BYTES_PER_KILOBYTE = 1e3;

  private final SplittableRandom random = new SplittableRandom(1);
  private final List<QuotaLimiter> limiters = new ArrayList<>();
  private final Map<Tenant, List<Integer>> entryHosts = new HashMap<>();
  private final QuotaShareController controller = new QuotaShareController(1);
  private final double requestsPerRound;
  private long reportBytes;
  private long replyBytes;
  private long coordinatorNanos;

  private QuotaShareSlopes(int hosts, int tenants) {
    double requestsPerSecond = hosts * REQUESTS_PER_SECOND_AND_HOST;
    requestsPerRound = requestsPerSecond * REPORT_INTERVAL.toNanos() / NANOS_PER_SECOND;
    for (int i = 0; i < hosts; i++) {
      limiters.add(new QuotaLimiter(i));
    }
    for (int i = 0; i < tenants; i++) {
      double rate = requestsPerSecond / tenants / USUAL_LOAD;
      List<Integer> entries = new ArrayList<>();
      for (int j = 0; j < ENTRY_HOSTS_OF_TENANT; j++) {
        entries.add(random.nextInt(hosts));
      }
      entryHosts.put(
          new Tenant(
              TenantName.of("tenant-" + i),
              OptionalInt.empty(),
              Optional.of(new Quota(rate, rate))),
          entries);
    }
  }

  /**
   * Prints one comma-separated line for each number of hosts and tenants.
   *
   * @param args not used
   */
  public static void main(String[] args) {
    System.out.println(
        "hosts, tenants, bytes a report, bytes a reply, coordinator KB/s in, KB/s out, ms/s");
    for (int hosts : HOSTS) {
      for (int tenants : TENANTS) {
        System.out.println(new QuotaShareSlopes(hosts, tenants).measure(hosts, tenants));
      }
    }
  }

  private String measure(int hosts, int tenants) {
    controller.start(0);
    long now = 0;
    for (; now < WARM_UP.toNanos(); now += REPORT_INTERVAL.toNanos()) {
      round(now);
    }
    reportBytes = 0;
    replyBytes = 0;
    coordinatorNanos = 0;
    long end = now + MEASURED.toNanos();
    int reports = 0;
    for (; now < end; now += REPORT_INTERVAL.toNanos()) {
      round(now);
      reports += hosts;
    }
    double seconds = MEASURED.toNanos() / NANOS_PER_SECOND;
    return String.format(
        Locale.ROOT,
        "%d, %d, %d, %d, %.1f, %.1f, %.1f",
        hosts,
        tenants,
        reportBytes / reports,
        replyBytes / reports,
        reportBytes / seconds / BYTES_PER_KILOBYTE,
        replyBytes / seconds / BYTES_PER_KILOBYTE,
        coordinatorNanos / NANOS_PER_MILLISECOND / seconds);
  }

  private void round(long nowNanos) {
    for (Map.Entry<Tenant, List<Integer>> entry : entryHosts.entrySet()) {
      double requests = requestsPerRound / entryHosts.size();
      for (double left = random.nextDouble() * 2 * requests; left > random.nextDouble(); left--) {
        int host = entry.getValue().get(random.nextInt(ENTRY_HOSTS_OF_TENANT));
        limiters.get(host).acquire(entry.getKey(), nowNanos);
      }
    }
    for (int i = 0; i < limiters.size(); i++) {
      report(i, nowNanos);
    }
  }

  private void report(int number, long nowNanos) {
    QuotaLimiter limiter = limiters.get(number);
    ShareReport<TenantName> quotas = limiter.takeReport(nowNanos);
    String report = PeerCodec.encode(emptyReport(number).withQuotas(quotas));
    long startNanos = System.nanoTime();
    LoadReport received = PeerCodec.decodeReport(report);
    ShareGrant<TenantName> grant =
        controller.reportReceived(received.host(), received.quotas(), nowNanos);
    String reply = PeerCodec.encode(emptyReply().withQuotaShares(grant));
    coordinatorNanos += System.nanoTime() - startNanos;
    reportBytes += report.length();
    replyBytes += reply.length();
    limiter.apply(new QuotaShares(PeerCodec.decodeReply(reply).quotaShares(), nowNanos), nowNanos);
  }

  private static LoadReport emptyReport(int number) {
    return PeerCodec.decodeReport("host front-" + number + " 600000\nnews 100000 100000 100000\n");
  }

  private static CoordinatorReply emptyReply() {
    return PeerCodec.decodeReply(
        """
        coordinator front-1 true 100000 87 1500000
        news 100000 100000 100000
        passes true 0 true
        """);
  }
}
