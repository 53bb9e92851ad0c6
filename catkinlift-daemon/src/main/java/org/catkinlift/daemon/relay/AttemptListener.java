package org.catkinlift.daemon.relay;

import com.google.common.collect.ImmutableListMultimap;
import io.vertx.core.buffer.Buffer;
import org.catkinlift.model.Outcome;

/** The entry side of an attempt, as its dispatcher side sees it. */
public interface AttemptListener {

  /**
   * Begins the answer.
   *
   * @param status the HTTP status
   * @param headers the headers for the caller
   */
  void head(int status, ImmutableListMultimap<String, String> headers);

  /**
   * Continues the answer; sent only as far as credit was given.
   *
   * @param data the bytes
   * @param last whether the answer ends here
   */
  void body(Buffer data, boolean last);

  /**
   * Lets the entry side send more bytes of the request body.
   *
   * @param bytes how many more
   */
  void credit(int bytes);

  /**
   * Ends the attempt without an answer or within one.
   *
   * @param outcome how it ended
   */
  void failed(Outcome outcome);
}
