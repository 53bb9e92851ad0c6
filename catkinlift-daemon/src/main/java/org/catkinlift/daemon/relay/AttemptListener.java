package org.catkinlift.daemon.relay;

import com.google.common.collect.ImmutableListMultimap;
import io.vertx.core.buffer.Buffer;
import org.catkinlift.model.Outcome;

/** Receives the response or the failure of an attempt on the caller side. */
public interface AttemptListener {

  /**
   * Starts the response.
   *
   * @param status the HTTP status
   * @param headers the response headers for the caller
   */
  void headReceived(int status, ImmutableListMultimap<String, String> headers);

  /**
   * Receives a chunk of the response body; sent only while credit remains.
   *
   * @param data the bytes
   * @param last whether this chunk ends the response
   */
  void bodyReceived(Buffer data, boolean last);

  /**
   * Allows the caller side to send more bytes of the request body.
   *
   * @param bytes the number of additional bytes
   */
  void creditGranted(int bytes);

  /**
   * Ends the attempt without a complete response; the response may have started.
   *
   * @param outcome the outcome of the attempt
   */
  void failed(Outcome outcome);
}
