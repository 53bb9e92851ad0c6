package org.catkinlift.protocol;

import com.google.common.collect.ImmutableListMultimap;
import com.google.protobuf.ByteString;
import org.catkinlift.model.Outcome;

/** A frame of a relayed request or of its response. */
public sealed interface RelayFrame {

  /**
   * Returns the number of the stream that the frame belongs to, which the daemon that sent the
   * request assigned.
   *
   * @return the stream number, unique on its link
   */
  long stream();

  /**
   * Starts a request and opens its stream.
   *
   * @param stream the stream number
   * @param head the description of the request
   */
  record Request(long stream, RelayHead head) implements RelayFrame {}

  /**
   * Carries body bytes in either direction, within the credit that the receiver has granted.
   *
   * @param stream the stream number
   * @param data the bytes
   * @param last whether these are the last bytes of the body
   */
  record Body(long stream, ByteString data, boolean last) implements RelayFrame {}

  /**
   * Starts the response.
   *
   * @param stream the stream number
   * @param status the HTTP status
   * @param headers the headers
   */
  record Response(long stream, int status, ImmutableListMultimap<String, String> headers)
      implements RelayFrame {}

  /**
   * Ends the stream before the response or in the middle of it.
   *
   * @param stream the stream number
   * @param outcome the outcome of the request
   */
  record Failure(long stream, Outcome outcome) implements RelayFrame {}

  /**
   * Grants the peer credit to send more body bytes.
   *
   * @param stream the stream number
   * @param bytes the number of additional bytes
   */
  record Credit(long stream, int bytes) implements RelayFrame {}

  /**
   * Cancels the stream because the caller has disconnected.
   *
   * @param stream the stream number
   */
  record Cancel(long stream) implements RelayFrame {}
}
