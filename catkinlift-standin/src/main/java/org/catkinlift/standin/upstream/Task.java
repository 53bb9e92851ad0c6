package org.catkinlift.standin.upstream;

/** What a request asks an upstream to do. */
public sealed interface Task {

  /**
   * Reads something; may run any number of times.
   *
   * @param key the key
   */
  record Lookup(String key) implements Task {}

  /**
   * Books an order; must run at most once.
   *
   * @param key the key
   */
  record Order(String key) implements Task {}

  /**
   * Sends a file.
   *
   * @param name the file, which determines the bytes
   * @param bytes the size
   */
  record Download(String name, long bytes) implements Task {}

  /**
   * Returns what the ownership of the request depends on.
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
