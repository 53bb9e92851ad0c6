package org.catkinlift.bench.ownership;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.PlatformRequest.Row;

/** The platform's table with outages and lost answers. */
public final class FakePlatform {
  /** The node's name in the network. */
  public static final String NODE = "platform";

  private final OwnershipChecks checks;
  private final Map<String, Row> rows = new TreeMap<>();
  private boolean down;
  private int answersToLose;
  private long writes;

  FakePlatform(OwnershipChecks checks) {
    this.checks = checks;
  }

  /**
   * Starts or ends an outage.
   *
   * @param down whether the platform is down
   */
  public void setDown(boolean down) {
    this.down = down;
  }

  /**
   * Loses the answers to the next writes, which take effect nevertheless.
   *
   * @param count the number of writes
   */
  public void loseAnswers(int count) {
    answersToLose = count;
  }

  /**
   * Returns a row.
   *
   * @param name the row's name
   * @return the row, if it exists
   */
  public Optional<Row> row(String name) {
    return Optional.ofNullable(rows.get(name));
  }

  /**
   * Puts a row back as a defective table would, for a test of the checks.
   *
   * @param row the row
   */
  public void revert(Row row) {
    rows.put(row.name(), row);
    checks.written(row);
  }

  /**
   * Returns the number of transactions that took effect.
   *
   * @return the number
   */
  public long writes() {
    return writes;
  }

  Optional<Reply> handle(PlatformRequest request) {
    if (down) {
      return Optional.empty();
    }
    return switch (request) {
      case PlatformRequest.ReadRows r -> Optional.of(new Reply.Rows(read(r.prefix())));
      case PlatformRequest.Transact t -> transact(t);
      case PlatformRequest.ReadHosts h -> Optional.empty();
    };
  }

  private ImmutableList<Row> read(String prefix) {
    return rows.values().stream()
        .filter(r -> r.name().startsWith(prefix))
        .collect(toImmutableList());
  }

  private Optional<Reply> transact(PlatformRequest.Transact request) {
    boolean conflict =
        request.conditions().entrySet().stream().anyMatch(c -> version(c.getKey()) != c.getValue());
    if (conflict) {
      return Optional.of(
          new Reply.Conflict(
              request.conditions().keySet().stream()
                  .flatMap(n -> row(n).stream())
                  .collect(toImmutableList())));
    }
    writes++;
    request
        .writes()
        .forEach(
            (name, value) -> {
              var row = new Row(name, version(name) + 1, request.requestId(), value);
              rows.put(name, row);
              checks.written(row);
            });
    return answersToLose-- > 0 ? Optional.empty() : Optional.of(new Reply.Applied());
  }

  private long version(String name) {
    return row(name).map(Row::version).orElse(0L);
  }
}
