package org.catkinlift.daemon;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.io.Resources;
import java.io.IOException;
import java.io.UncheckedIOException;

/** The version of this build, read from a resource that the build generates. */
public final class ProductVersion {
  private static final String RESOURCE = "version.txt";

  private ProductVersion() {}

  /**
   * Returns the version.
   *
   * @return the version, for example {@code 0.1.0}
   * @throws UncheckedIOException if the resource cannot be read
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
