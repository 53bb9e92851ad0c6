package org.catkinlift.daemon.platform;

import io.vertx.core.Future;
import org.catkinlift.control.PlatformRequest;

/** Gives access to the platform, whatever its protocol is. */
public interface Platform {

  /**
   * Calls the platform.
   *
   * @param request the request
   * @return the reply; {@link PlatformRequest.Reply.NoAnswer} if none came in time. Fails with a
   *     {@link PlatformException} if the platform refuses the request or answers with something
   *     that cannot be read
   */
  Future<PlatformRequest.Reply> call(PlatformRequest request);

  /** Frees the connections. */
  void close();
}
