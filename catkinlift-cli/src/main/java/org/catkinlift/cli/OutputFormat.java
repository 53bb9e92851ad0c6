package org.catkinlift.cli;

/** How replies are printed. */
enum OutputFormat {
  /** For people. */
  TEXT,
  /** For scripts: the body of the operator API. */
  JSON
}
