package org.catkinlift.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.model.CellId;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.DispatchRelease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.Versioned;

/** A control message between daemons. */
public sealed interface PeerMessage {

  /**
   * Introduces the sender, at the start and whenever it learns of a new host.
   *
   * <p>A greeting that wants a reply and names nobody comes from a daemon that starts: it asks for
   * all hosts and versions that the receiver knows. A greeting that names its own sender is a
   * coordinator's report of the live members of its cell.
   *
   * @param self the sender
   * @param known hosts that the sender knows
   * @param wantsReply whether the receiver should introduce itself in turn
   */
  record Hello(HostDefinition self, ImmutableSet<HostDefinition> known, boolean wantsReply)
      implements PeerMessage {}

  /**
   * The coordinator's periodic message to each daemon of its cell.
   *
   * @param cell the cell
   * @param term the coordinator's term
   * @param sequence counts the heartbeats of this term; the answer repeats it
   * @param answered the sequence of the latest heartbeat whose answer from this receiver has
   *     arrived; 0 if none has
   * @param digest the versions that the coordinator has, as far as {@code range} says
   * @param range what the digest covers, and which answers the coordinator has seen
   * @param leases the dispatch leases of the receiver; {@code remaining} counts from the moment at
   *     which the receiver sent the answer to heartbeat {@code answered}
   */
  record Heartbeat(
      CellId cell,
      long term,
      long sequence,
      long answered,
      Digest digest,
      DigestRange range,
      ImmutableList<DispatchLease> leases)
      implements PeerMessage {
    /**
     * Creates a heartbeat whose digest states all versions.
     *
     * @param cell the cell
     * @param term the coordinator's term
     * @param sequence counts the heartbeats of this term
     * @param answered the sequence of the latest heartbeat whose answer has arrived
     * @param digest all versions that the coordinator has
     * @param leases the dispatch leases of the receiver
     */
    public Heartbeat(
        CellId cell,
        long term,
        long sequence,
        long answered,
        Digest digest,
        ImmutableList<DispatchLease> leases) {
      this(cell, term, sequence, answered, digest, DigestRange.FULL, leases);
    }
  }

  /**
   * A daemon's answer to a heartbeat.
   *
   * @param cell the cell
   * @param term the term of the heartbeat
   * @param sequence the sequence of the heartbeat
   * @param digest the versions that the sender has, as far as {@code range} says
   * @param range what the digest covers, and which heartbeats the sender has seen
   * @param loads the load of the upstreams that the sender dispatches to
   */
  record HeartbeatAck(
      CellId cell,
      long term,
      long sequence,
      Digest digest,
      DigestRange range,
      ImmutableList<UpstreamLoad> loads)
      implements PeerMessage {
    /**
     * Creates an answer whose digest states all versions.
     *
     * @param cell the cell
     * @param term the term of the heartbeat
     * @param sequence the sequence of the heartbeat
     * @param digest all versions that the sender has
     * @param loads the load of the upstreams that the sender dispatches to
     */
    public HeartbeatAck(
        CellId cell, long term, long sequence, Digest digest, ImmutableList<UpstreamLoad> loads) {
      this(cell, term, sequence, digest, DigestRange.FULL, loads);
    }
  }

  /**
   * Asks a voter not to take a role for some time.
   *
   * @param row the platform row of the role, as {@code cell/<cell>} or {@code takeover/<cell>}
   * @param term the term of the holder that asks
   * @param sequence counts the requests of this term; the answer repeats it
   * @param duration the wanted promise, counted by the holder from the sending of this request
   */
  record PromiseRequest(String row, long term, long sequence, Duration duration)
      implements PeerMessage {}

  /**
   * Promises not to take a role.
   *
   * @param row the platform row of the role
   * @param term the term of the request
   * @param sequence the sequence of the request
   * @param duration the promise; zero if the voter promises nothing
   * @param newestTerm the latest term of this role that the voter knows of
   */
  record Promise(String row, long term, long sequence, Duration duration, long newestTerm)
      implements PeerMessage {}

  /**
   * States which versions a daemon has; values that are left out are not compared.
   *
   * @param versions the version of each {@link Versioned} value by name
   * @param age the time since a read of the platform confirmed that the sender's configuration is
   *     the newest, be it the sender's read or that of a peer; empty if the sender does not say
   */
  record Digest(ImmutableMap<String, Epoch> versions, Optional<Duration> age)
      implements PeerMessage {
    /**
     * Creates a digest that does not say how old the configuration is.
     *
     * @param versions the version of each value by name
     */
    public Digest(ImmutableMap<String, Epoch> versions) {
      this(versions, Optional.empty());
    }
  }

  /**
   * Asks for values that the receiver has in a later version.
   *
   * @param names the names of the wanted values
   */
  record Pull(ImmutableList<String> names) implements PeerMessage {}

  /**
   * Answers a {@link Pull}.
   *
   * @param values the values
   */
  record PullReply(ImmutableList<Versioned> values) implements PeerMessage {}

  /**
   * Tells peers that the sender stops by plan.
   *
   * @param host the sender
   */
  record Leaving(HostId host) implements PeerMessage {}

  /**
   * The load of one upstream as its dispatcher saw it.
   *
   * @param upstream the upstream
   * @param instance the run of the upstream's process that the dispatcher last saw; empty if none
   * @param currentLimit the limit in force, below the configured one while the upstream is cold
   * @param inFlight the requests in execution
   * @param queued the requests in the queue
   * @param slotLoads the work per second by slot index, for slots with any
   * @param keyLoads the work per second of the hottest keys
   * @param release what the dispatcher left behind when it gave its lease up; empty while it holds
   *     one, or if it does not know
   */
  record UpstreamLoad(
      UpstreamId upstream,
      String instance,
      int currentLimit,
      int inFlight,
      int queued,
      ImmutableMap<Integer, Double> slotLoads,
      ImmutableMap<String, Double> keyLoads,
      Optional<DispatchRelease> release) {
    /**
     * Creates the load of a dispatcher that has given up no lease.
     *
     * @param upstream the upstream
     * @param instance the run of the upstream's process; empty if none was seen
     * @param currentLimit the limit in force
     * @param inFlight the requests in execution
     * @param queued the requests in the queue
     * @param slotLoads the work per second by slot index
     * @param keyLoads the work per second of the hottest keys
     */
    public UpstreamLoad(
        UpstreamId upstream,
        String instance,
        int currentLimit,
        int inFlight,
        int queued,
        ImmutableMap<Integer, Double> slotLoads,
        ImmutableMap<String, Double> keyLoads) {
      this(
          upstream,
          instance,
          currentLimit,
          inFlight,
          queued,
          slotLoads,
          keyLoads,
          Optional.empty());
    }
  }
}
