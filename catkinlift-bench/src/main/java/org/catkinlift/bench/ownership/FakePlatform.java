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
final class FakePlatform {
  /** The node's name in the network. */
  static final String NODE = "platform";

  private final OwnershipChecks checks;
  private final Map<String, Row> rows = new TreeMap<>();
  private boolean down;
  private int answersToLose;
  private long writes;

  FakePlatform(OwnershipChecks checks) {
    this.checks = checks;
  }

  void setDown(boolean down) {
    this.down = down;
  }

  void loseAnswers(int count) {
    answersToLose = count;
  }

  Optional<Row> row(String name) {
    return Optional.ofNullable(rows.get(name));
  }

  void revert(Row row) {
    rows.put(row.name(), row);
    checks.written(row);
  }

  long writes() {
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
