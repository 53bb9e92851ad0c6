package org.catkinlift.daemon;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.io.Resources;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Knows the version of this build, which the build writes into a resource. */
public final class ProductVersion {
  private static final String RESOURCE = "version.txt";

  private ProductVersion() {}

  /**
   * Returns the version.
   *
   * @return the version, for example {@code 0.1.0}
   * @throws UncheckedIOException if the build lacks the resource
   */
  public static String text() {
    try {
      return Resources.toString(Resources.getResource(ProductVersion.class, RESOURCE), UTF_8)
          .trim();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read " + RESOURCE, e);
    }
  }
}
