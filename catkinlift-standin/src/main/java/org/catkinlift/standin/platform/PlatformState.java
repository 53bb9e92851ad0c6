package org.catkinlift.standin.platform;

import com.google.common.collect.ImmutableMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * The immutable state of the platform; each call yields the next state and the response.
 *
 * @param table the rows
 * @param objects the object contents by name
 * @param hosts the host lists, past and present
 * @param faults the injected faults
 * @param transactions the number of transactions so far, for {@link PlatformFaults#loseEveryNth}
 */
public record PlatformState(
    TableState table,
    ImmutableMap<String, Buffer> objects,
    HostListHistory hosts,
    PlatformFaults faults,
    long transactions) {

  /** The state without content and without faults. */
  public static final PlatformState EMPTY =
      new PlatformState(
          TableState.EMPTY, ImmutableMap.of(), HostListHistory.EMPTY, PlatformFaults.NONE, 0);

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;
  private static final String APPLIED = "{\"applied\":true}";

  /**
   * The result of a call.
   *
   * @param next the state after the call
   * @param answer the outcome seen by the client
   */
  public record Step(PlatformState next, PlatformAnswer answer) {}

  /**
   * Processes a call.
   *
   * @param call the call
   * @param nowNanos the current time, for the host list
   * @return the next state and the answer
   * @throws IllegalArgumentException if the content of the call is malformed
   */
  Step process(PlatformCall call, long nowNanos) {
    return switch (call) {
      case PlatformCall.ReplaceHosts c -> control(withHosts(nowNanos, c.list()), "");
      case PlatformCall.ReadFaults c -> control(this, PlatformJson.ofFaults(faults));
      case PlatformCall.ChangeFaults c -> changeFaults(c);
      case PlatformCall.ReadRow c -> unlessOutage(readRow(c.name()));
      case PlatformCall.ReadRows c ->
          unlessOutage(reply(OK, PlatformJson.ofRows(table.rowsWithPrefix(c.prefix()))));
      case PlatformCall.Transact c -> unlessOutage(transact(c.transaction()));
      case PlatformCall.ReadObject c -> unlessOutage(readObject(c.name()));
      case PlatformCall.WriteObject c ->
          unlessOutage(new Step(withObject(c.name(), c.content()), delayed(OK, "")));
      case PlatformCall.ReadHosts c ->
          unlessOutage(
              reply(OK, PlatformJson.ofHosts(hosts.visibleAt(nowNanos, faults.hostListLag()))));
    };
  }

  /**
   * Returns the state with other faults.
   *
   * @param faults the faults
   * @return the state
   */
  public PlatformState withFaults(PlatformFaults faults) {
    return new PlatformState(table, objects, hosts, faults, transactions);
  }

  /**
   * Returns the state with a new host list.
   *
   * @param nowNanos the current time
   * @param list the list that applies from now on
   * @return the state
   */
  public PlatformState withHosts(long nowNanos, HostList list) {
    return new PlatformState(table, objects, hosts.with(nowNanos, list), faults, transactions);
  }

  /**
   * Returns the state with another table.
   *
   * @param table the table
   * @return the state
   */
  public PlatformState withTable(TableState table) {
    return new PlatformState(table, objects, hosts, faults, transactions);
  }

  private PlatformState withObject(String name, Buffer content) {
    var next =
        ImmutableMap.<String, Buffer>builder()
            .putAll(objects)
            .put(name, content)
            .buildKeepingLast();
    return new PlatformState(table, next, hosts, faults, transactions);
  }

  private Step changeFaults(PlatformCall.ChangeFaults call) {
    PlatformFaults next = PlatformJson.toFaults(call.json(), faults);
    return control(withFaults(next), PlatformJson.ofFaults(next));
  }

  private Step readRow(String name) {
    return table
        .row(name)
        .map(row -> reply(OK, PlatformJson.ofRow(row)))
        .orElseGet(() -> reply(NOT_FOUND, ""));
  }

  private Step readObject(String name) {
    return Optional.ofNullable(objects.get(name))
        .map(content -> new Step(this, new PlatformAnswer.Delayed(OK, content.copy())))
        .orElseGet(() -> reply(NOT_FOUND, ""));
  }

  private Step transact(TableTransaction transaction) {
    Step step =
        switch (table.apply(transaction)) {
          case TableState.Result.Applied a -> new Step(withTable(a.next()), delayed(OK, APPLIED));
          case TableState.Result.Conflict c -> reply(CONFLICT, PlatformJson.ofRows(c.rows()));
        };
    return step.next().countTransaction(step.answer());
  }

  private Step countTransaction(PlatformAnswer answer) {
    long count = transactions + 1;
    boolean lostByCount = faults.loseNext() > 0;
    boolean lostByInterval = faults.loseEveryNth() > 0 && count % faults.loseEveryNth() == 0;
    PlatformFaults remaining =
        lostByCount ? faults.toBuilder().loseNext(faults.loseNext() - 1).build() : faults;
    return new Step(
        new PlatformState(table, objects, hosts, remaining, count),
        lostByCount || lostByInterval ? new PlatformAnswer.Lost() : answer);
  }

  /** Replaces the step with a failure that has no effect if there is an outage. */
  private Step unlessOutage(Step step) {
    return faults.outage() ? reply(UNAVAILABLE, "") : step;
  }

  private Step reply(int status, String body) {
    return new Step(this, delayed(status, body));
  }

  private static Step control(PlatformState next, String body) {
    return new Step(next, new PlatformAnswer.Immediate(OK, Buffer.buffer(body)));
  }

  private static PlatformAnswer delayed(int status, String body) {
    return new PlatformAnswer.Delayed(status, Buffer.buffer(body));
  }
}
