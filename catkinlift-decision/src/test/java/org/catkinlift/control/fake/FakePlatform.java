package org.catkinlift.control.fake;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue;
import org.catkinlift.model.HostDefinition;

/** Keeps rows and a host list in memory, and simulates outages and lost answers. */
public final class FakePlatform {
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Long> configurationVersions = new ArrayList<>();
  private ImmutableList<HostDefinition> hosts = ImmutableList.of();
  private boolean down;
  private int answersToLose;
  private int hostReads;

  Reply handle(PlatformRequest request) {
    if (down) {
      return new Reply.NoAnswer();
    }
    return switch (request) {
      case PlatformRequest.ReadRows r -> new Reply.Rows(read(r.prefix()));
      case PlatformRequest.Transact t -> transact(t);
      case PlatformRequest.ReadHosts h -> readHosts();
    };
  }

  private Reply readHosts() {
    hostReads++;
    return new Reply.Hosts(hosts, ImmutableList.of());
  }

  private ImmutableList<Row> read(String prefix) {
    return rows.values().stream()
        .filter(r -> r.name().startsWith(prefix))
        .collect(ImmutableList.toImmutableList());
  }

  private Reply transact(PlatformRequest.Transact request) {
    boolean conditionsHold =
        request.conditions().entrySet().stream()
            .allMatch(c -> versionOf(c.getKey()) == c.getValue());
    if (!conditionsHold) {
      return new Reply.Conflict(
          request.conditions().keySet().stream()
              .flatMap(n -> rows.containsKey(n) ? ImmutableList.of(rows.get(n)).stream() : null)
              .collect(ImmutableList.toImmutableList()));
    }
    request.writes().forEach((name, value) -> put(name, request.requestId(), value));
    if (answersToLose > 0) {
      answersToLose--;
      return new Reply.NoAnswer();
    }
    return new Reply.Applied();
  }

  private long versionOf(String name) {
    return rows.containsKey(name) ? rows.get(name).version() : 0;
  }

  private void put(String name, String requestId, RowValue value) {
    rows.put(name, new Row(name, versionOf(name) + 1, requestId, value));
    if (value instanceof RowValue.ConfigurationRow c) {
      configurationVersions.add(c.configuration().version());
    }
  }

  public void put(String name, RowValue value) {
    put(name, "test", value);
  }

  public void down(boolean isDown) {
    down = isDown;
  }

  public void loseAnswersOfWrites(int count) {
    answersToLose = count;
  }

  public void hosts(Iterable<HostDefinition> listed) {
    hosts = ImmutableList.copyOf(listed);
  }

  public int hostReads() {
    return hostReads;
  }

  public ImmutableList<Long> configurationVersions() {
    return ImmutableList.copyOf(configurationVersions);
  }
}
