package org.catkinlift.gateway.peer;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import org.catkinlift.model.TenantName;
import org.catkinlift.shares.Share;
import org.catkinlift.shares.ShareDemand;
import org.catkinlift.shares.ShareGrant;
import org.catkinlift.shares.ShareOffer;
import org.catkinlift.shares.ShareReport;
import org.catkinlift.shares.ShareState;

/**
 * Encodes shares of quotas as lines of the messages between daemons. A daemon without tenants sends
 * none of them.
 */
final class ShareLines {
  static final String STATE = "quota";
  static final String DEMAND = "demand";
  static final String HELD = "held";
  static final String OFFER = "offer";

  private static final double MILLIONTHS = 1e6;
  private static final double THOUSANDTHS = 1e3;

  private ShareLines() {}

  static void append(StringBuilder text, ShareReport<TenantName> report) {
    if (report.isEmpty()) {
      return;
    }
    line(text, STATE, report.state().issuer(), report.state().sequence());
    report
        .demand()
        .forEach(
            (tenant, demand) ->
                line(
                    text,
                    DEMAND,
                    tenant,
                    inThousandths(demand.asked()),
                    inThousandths(demand.spent()),
                    inThousandths(demand.shortage()),
                    inThousandths(demand.allowance()),
                    inThousandths(demand.unitsPerSecond())));
    report
        .held()
        .forEach(
            (tenant, share) ->
                line(text, HELD, tenant, inMillionths(share.rate()), inMillionths(share.burst())));
  }

  static void append(StringBuilder text, ShareGrant<TenantName> grant) {
    if (grant.isNone()) {
      return;
    }
    line(
        text,
        STATE,
        grant.state().issuer(),
        grant.state().sequence(),
        grant.lease().toMillis(),
        grant.replacesAll());
    grant
        .offers()
        .forEach(
            (tenant, offer) ->
                line(
                    text,
                    OFFER,
                    tenant,
                    inMillionths(offer.share().rate()),
                    inMillionths(offer.share().burst()),
                    inMillionths(offer.tokens())));
  }

  private static void line(StringBuilder text, Object... fields) {
    for (int i = 0; i < fields.length; i++) {
      text.append(i == 0 ? "" : " ").append(fields[i]);
    }
    text.append('\n');
  }

  /** Collects the lines of one message. Lines of other types are ignored. */
  static final class Decoder {
    private ShareState state = ShareState.NONE;
    private Duration lease = Duration.ZERO;
    private boolean replacesAll;
    private final ImmutableMap.Builder<TenantName, ShareDemand> demand = ImmutableMap.builder();
    private final ImmutableMap.Builder<TenantName, Share> held = ImmutableMap.builder();
    private final ImmutableMap.Builder<TenantName, ShareOffer> offers = ImmutableMap.builder();

    /**
     * Reads a line.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    void line(String[] fields) {
      switch (fields[0]) {
        case STATE -> {
          state = new ShareState(number(fields, 1), number(fields, 2));
          if (fields.length > 3) {
            lease = Duration.ofMillis(Math.max(0, number(fields, 3)));
            replacesAll = Boolean.parseBoolean(PeerCodec.field(fields, 4));
          }
        }
        case DEMAND ->
            demand.put(
                tenant(fields),
                new ShareDemand(
                    number(fields, 2) / THOUSANDTHS,
                    number(fields, 3) / THOUSANDTHS,
                    number(fields, 4) / THOUSANDTHS,
                    number(fields, 5) / THOUSANDTHS,
                    number(fields, 6) / THOUSANDTHS));
        case HELD -> held.put(tenant(fields), share(fields));
        case OFFER ->
            offers.put(
                tenant(fields), new ShareOffer(share(fields), number(fields, 4) / MILLIONTHS));
        default -> {}
      }
    }

    ShareReport<TenantName> report() {
      return new ShareReport<>(state, demand.buildKeepingLast(), held.buildKeepingLast());
    }

    ShareGrant<TenantName> grant() {
      return new ShareGrant<>(state, lease, replacesAll, offers.buildKeepingLast());
    }

    private static TenantName tenant(String[] fields) {
      return TenantName.of(PeerCodec.field(fields, 1));
    }

    private static Share share(String[] fields) {
      return new Share(number(fields, 2) / MILLIONTHS, number(fields, 3) / MILLIONTHS);
    }

    private static long number(String[] fields, int index) {
      return Long.parseLong(PeerCodec.field(fields, index));
    }
  }

  private static long inThousandths(double value) {
    return Math.round(value * THOUSANDTHS);
  }

  /** Rounds down, so that the shares of all hosts are not more than the whole. */
  private static long inMillionths(double value) {
    return (long) (value * MILLIONTHS);
  }
}
