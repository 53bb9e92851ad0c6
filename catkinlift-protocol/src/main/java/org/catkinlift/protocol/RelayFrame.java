package org.catkinlift.protocol;

import com.google.common.collect.ImmutableListMultimap;
import com.google.protobuf.ByteString;
import org.catkinlift.model.Outcome;

/** A part of a relayed request or of its answer. */
public sealed interface RelayFrame {

  /**
   * Returns the stream that the frame belongs to; chosen by the side that sent the request.
   *
   * @return the number, unique on its link
   */
  long stream();

  /**
   * Opens a stream.
   *
   * @param stream the stream
   * @param head the request
   */
  record Request(long stream, RelayHead head) implements RelayFrame {}

  /**
   * Carries body bytes, in either direction; only as many as the receiver gave credit for.
   *
   * @param stream the stream
   * @param data the bytes
   * @param last whether the body ends here
   */
  record Body(long stream, ByteString data, boolean last) implements RelayFrame {}

  /**
   * Opens the answer.
   *
   * @param stream the stream
   * @param status the HTTP status
   * @param headers the headers
   */
  record Response(long stream, int status, ImmutableListMultimap<String, String> headers)
      implements RelayFrame {}

  /**
   * Ends the stream without an answer or within one.
   *
   * @param stream the stream
   * @param outcome how the request ended
   */
  record Failure(long stream, Outcome outcome) implements RelayFrame {}

  /**
   * Lets the other side send more body bytes.
   *
   * @param stream the stream
   * @param bytes how many more
   */
  record Credit(long stream, int bytes) implements RelayFrame {}

  /**
   * Ends the stream because the caller has gone.
   *
   * @param stream the stream
   */
  record Cancel(long stream) implements RelayFrame {}
}
