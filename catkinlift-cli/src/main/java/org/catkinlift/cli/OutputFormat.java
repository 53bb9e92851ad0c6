package org.catkinlift.cli;

/** Formats in which replies are printed. */
enum OutputFormat {
  /** Human-readable text. */
  TEXT,
  /** The JSON body of the operator API, for scripts. */
  JSON
}
