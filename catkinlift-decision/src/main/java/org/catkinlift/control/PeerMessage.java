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
   * Introduces the sender, at its start and whenever it learns of a new host.
   *
   * <p>A hello that wants a reply and lists no known hosts comes from a starting daemon and
   * requests all hosts and versions that the receiver knows. A hello that lists its own sender is a
   * coordinator's report of the live members of its cell.
   *
   * @param self the sender
   * @param known hosts that the sender knows
   * @param wantsReply whether the receiver should answer with its own hello
   */
  record Hello(HostDefinition self, ImmutableSet<HostDefinition> known, boolean wantsReply)
      implements PeerMessage {}

  /**
   * The coordinator's periodic message to each daemon of its cell.
   *
   * @param cell the cell
   * @param term the coordinator's term
   * @param sequence the number of the heartbeat in this term; echoed in the answer
   * @param answered the sequence of the latest heartbeat whose answer from this receiver has
   *     arrived; 0 if none has
   * @param digest the versions of the coordinator's values within {@code range}
   * @param range what the digest covers, and which answers the coordinator acknowledges
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
     * Creates a heartbeat whose digest lists all versions.
     *
     * @param cell the cell
     * @param term the coordinator's term
     * @param sequence the number of the heartbeat in this term
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
   * @param digest the versions of the sender's values within {@code range}
   * @param range what the digest covers, and which heartbeats the sender acknowledges
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
     * Creates an answer whose digest lists all versions.
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
   * Requests that a voter does not take over a role for some time.
   *
   * @param row the platform row of the role, as {@code cell/<cell>} or {@code takeover/<cell>}
   * @param term the term of the holder that sends the request
   * @param sequence the number of the request in this term; echoed in the answer
   * @param duration the requested duration, which the holder counts from the sending of this
   *     request
   */
  record PromiseRequest(String row, long term, long sequence, Duration duration)
      implements PeerMessage {}

  /**
   * Promises not to take over a role.
   *
   * @param row the platform row of the role
   * @param term the term of the request
   * @param sequence the sequence of the request
   * @param duration the duration of the promise; zero if the voter promises nothing
   * @param newestTerm the latest term of this role that the voter knows of
   */
  record Promise(String row, long term, long sequence, Duration duration, long newestTerm)
      implements PeerMessage {}

  /**
   * Lists versions of a daemon's values; values that are left out are not compared.
   *
   * @param versions the version of each {@link Versioned} value by name
   * @param age the time since a platform read, by the sender or by a peer, confirmed that the
   *     sender's configuration is the newest; empty if not stated
   */
  record Digest(ImmutableMap<String, Epoch> versions, Optional<Duration> age)
      implements PeerMessage {
    /**
     * Creates a digest without the age of the configuration.
     *
     * @param versions the version of each value by name
     */
    public Digest(ImmutableMap<String, Epoch> versions) {
      this(versions, Optional.empty());
    }
  }

  /**
   * Requests values of which the receiver has a newer version.
   *
   * @param names the names of the requested values
   */
  record Pull(ImmutableList<String> names) implements PeerMessage {}

  /**
   * Answers a {@link Pull}.
   *
   * @param values the values
   */
  record PullReply(ImmutableList<Versioned> values) implements PeerMessage {}

  /**
   * Announces the planned stop of the sender.
   *
   * @param host the sender
   */
  record Leaving(HostId host) implements PeerMessage {}

  /**
   * The load of one upstream as observed by its dispatcher.
   *
   * @param upstream the upstream
   * @param instance identifies the run of the upstream's process that the dispatcher last saw;
   *     empty if none
   * @param currentLimit the limit in force, below the configured one while the upstream is cold
   * @param inFlight the requests in execution
   * @param queued the requests in the queue
   * @param slotLoads the work per second by slot index, for slots with any
   * @param keyLoads the work per second of the hottest keys
   * @param release the requests that remained when the dispatcher released its lease; empty while
   *     it holds a lease or if unknown
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
     * Creates the load of a dispatcher that has released no lease.
     *
     * @param upstream the upstream
     * @param instance identifies the run of the upstream's process; empty if none was seen
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
