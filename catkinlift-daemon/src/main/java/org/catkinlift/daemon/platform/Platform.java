package org.catkinlift.daemon.platform;

import io.vertx.core.Future;
import org.catkinlift.control.PlatformRequest;

/** Provides access to the platform, independently of its protocol. */
public interface Platform {

  /**
   * Calls the platform.
   *
   * @param request the request
   * @return the reply; {@link PlatformRequest.Reply.NoAnswer} if none arrived within the time-out.
   *     Fails with a {@link PlatformException} if the platform rejects the request or its response
   *     cannot be decoded
   */
  Future<PlatformRequest.Reply> call(PlatformRequest request);

  /** Closes the connections to the platform. */
  void close();
}
