package org.catkinlift.ranges.explore;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.lang.reflect.Field;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;

/**
 * A digest of objects by the values of their fields. Two states with the same digest behave alike.
 *
 * <p>Times are taken relative to the present, and times in the past are all equal, because an
 * action that is due and a hold that has expired stay so.
 */
final class StateDigest {
  /** Fields of call numbers and versions to come, of logs, and without effect on the next calls. */
  private static final ImmutableSet<String> IGNORED_FIELDS =
      ImmutableSet.of(
          "holdExpiryNanos", "lastCallId", "load", "mapVersion", "maxGrantDuration", "reason");

  private final StringBuilder text = new StringBuilder();
  private final long nowNanos;

  private StateDigest(long nowNanos) {
    this.nowNanos = nowNanos;
  }

  /** Returns the digest of some objects at a given time. */
  static HashCode of(long nowNanos, Object... roots) {
    var digest = new StateDigest(nowNanos);
    for (Object root : roots) {
      digest.append(root);
    }
    return Hashing.murmur3_128().hashString(digest.text, StandardCharsets.UTF_8);
  }

  private void append(Object value) {
    switch (value) {
      case Optional<?> optional -> append(optional.isPresent() ? optional.get() : "none");
      case Map<?, ?> map -> append(map.entrySet());
      case Map.Entry<?, ?> entry -> append(ImmutableList.of(entry.getKey(), entry.getValue()));
      case Collection<?> elements -> {
        text.append('[');
        elements.forEach(this::append);
        text.append(']');
      }
      default -> {
        if (value.getClass().getPackageName().startsWith("org.catkinlift.ranges")) {
          appendFields(value);
        } else {
          text.append(value).append(' ');
        }
      }
    }
  }

  private void appendFields(Object owner) {
    text.append(owner.getClass().getSimpleName()).append('{');
    for (Field field : Reflection.fieldsOf(owner.getClass())) {
      if (!IGNORED_FIELDS.contains(field.getName())) {
        Object value = Reflection.get(field, owner);
        append(field.getName().endsWith("Nanos") ? (Object) untilNanos((long) value) : value);
      }
    }
    text.append('}');
  }

  /** Returns the time from now on; -1 for the past, and the same value for an unknown time. */
  private long untilNanos(long timeNanos) {
    if (timeNanos == Long.MAX_VALUE) {
      return timeNanos;
    }
    return timeNanos < nowNanos ? -1 : timeNanos - nowNanos;
  }
}
