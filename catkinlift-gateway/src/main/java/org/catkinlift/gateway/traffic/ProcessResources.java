package org.catkinlift.gateway.traffic;

import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalInt;

/** The memory and descriptors of this process, from which the bounds on callers are derived. */
final class ProcessResources {
  /** The rest is for connections to upstreams and the store, and for copies in the sockets. */
  private static final int CALLER_MEMORY_DIVISOR = 4;

  private static final Path LIMITS_FILE = Path.of("/proc/self/limits");
  private static final String DESCRIPTORS_LINE = "Max open files";

  /** The smallest number of descriptors of a deployment, for systems without that file. */
  private static final int DEFAULT_DESCRIPTORS = 4_100;

  /** The limit may be unlimited, and each connection also takes memory. */
  private static final int MAX_DESCRIPTORS = 8_192;

  /** Descriptors that are left for files, such as jars and logs. */
  private static final int DESCRIPTORS_FOR_FILES = 200;

  /** The rest is for upstreams, the store, other daemons and health checks. */
  private static final double CALLER_DESCRIPTOR_SHARE = 0.6;

  private ProcessResources() {}

  /** Returns the number of bytes that may be held for callers. */
  static long callerBytes() {
    long heapBytes = Runtime.getRuntime().maxMemory();
    return (heapBytes + PlatformDependent.maxDirectMemory()) / CALLER_MEMORY_DIVISOR;
  }

  /**
   * Returns the number of callers' connections that may be open.
   *
   * @param descriptors the descriptors that the process may have; if empty, the limit of the
   *     operating system counts
   */
  static int callerConnections(OptionalInt descriptors) {
    int available =
        Math.min(MAX_DESCRIPTORS, descriptors.orElseGet(ProcessResources::availableDescriptors));
    int sockets = available - DESCRIPTORS_FOR_FILES;
    return Math.max(1, (int) (sockets * CALLER_DESCRIPTOR_SHARE));
  }

  private static int availableDescriptors() {
    try {
      return Files.readAllLines(LIMITS_FILE).stream()
          .filter(line -> line.startsWith(DESCRIPTORS_LINE))
          .map(line -> line.substring(DESCRIPTORS_LINE.length()).trim().split("\\s+", -1)[0])
          .mapToInt(ProcessResources::parseDescriptors)
          .findFirst()
          .orElse(DEFAULT_DESCRIPTORS);
    } catch (IOException e) {
      // The file exists on Linux only.
      return DEFAULT_DESCRIPTORS;
    }
  }

  private static int parseDescriptors(String text) {
    try {
      return (int) Math.min(MAX_DESCRIPTORS, Long.parseLong(text));
    } catch (NumberFormatException e) {
      // The value is "unlimited".
      return MAX_DESCRIPTORS;
    }
  }
}
