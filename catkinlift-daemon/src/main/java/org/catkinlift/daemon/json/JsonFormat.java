package org.catkinlift.daemon.json;

/** The forms in which definitions, intents and plans are written. */
public sealed interface JsonFormat {

  /**
   * The form of the operator API. People write it: keys may have defaults, and unknown keys and
   * values out of range are refused.
   */
  record Api() implements JsonFormat {}

  /**
   * The form of platform rows. Daemons of different versions write it: every key is there, and keys
   * of later versions are ignored.
   */
  record Row() implements JsonFormat {}
}
