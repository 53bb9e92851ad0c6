package org.catkinlift.cli;

import static com.google.common.collect.ImmutableList.toImmutableList;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.catkinlift.daemon.json.JsonError;
import org.catkinlift.daemon.json.JsonErrors;
import org.catkinlift.daemon.json.JsonFormat;
import org.catkinlift.daemon.json.ServiceCodec;
import org.catkinlift.daemon.operator.OperatorCodec;
import org.catkinlift.model.ServiceDefinition;

/** Reads the service definition file of {@code plan put-service}. */
final class ServiceFile {
  private static final ServiceCodec SERVICE_CODEC = new ServiceCodec(new JsonFormat.Api());

  private ServiceFile() {}

  /**
   * Reads a service definition.
   *
   * @param file the file
   * @return the definition
   * @throws CliException with code {@code BAD_FILE} and all errors found in the file
   */
  static ServiceDefinition read(Path file) {
    var errors = new JsonErrors();
    return OperatorCodec.decode(readText(file), SERVICE_CODEC.decoder(), errors)
        .orElseThrow(
            () ->
                new CliException(
                    CliException.Code.BAD_FILE,
                    errors.list().stream().map(JsonError::toString).collect(toImmutableList())));
  }

  private static String readText(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new CliException(CliException.Code.BAD_FILE, "cannot read " + file, e);
    }
  }
}
