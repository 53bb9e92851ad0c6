package org.catkinlift.standin.upstream;

/** The operation that a request asks an upstream to perform. */
public sealed interface Task {

  /**
   * Looks up a key; idempotent.
   *
   * @param key the key
   */
  record Lookup(String key) implements Task {}

  /**
   * Places an order; must run at most once.
   *
   * @param key the key
   */
  record Order(String key) implements Task {}

  /**
   * Downloads a file.
   *
   * @param name the name of the file, which determines its content
   * @param bytes the size of the file
   */
  record Download(String name, long bytes) implements Task {}

  /**
   * Returns the key that determines which upstream owns the request.
   *
   * @return the key, or the name of the file
   */
  default String key() {
    return switch (this) {
      case Lookup t -> t.key();
      case Order t -> t.key();
      case Download t -> t.name();
    };
  }
}
