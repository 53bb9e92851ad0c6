package org.catkinlift.daemon.json;

/** The JSON formats of service definitions, intents and plans. */
public sealed interface JsonFormat {

  /**
   * The format of the operator API. Documents are written by operators: keys may have defaults, and
   * unknown keys and values out of range are rejected.
   */
  record Api() implements JsonFormat {}

  /**
   * The format of platform rows. Rows are written by daemons of different versions: all keys are
   * present, and unknown keys from later versions are ignored.
   */
  record Row() implements JsonFormat {}
}
