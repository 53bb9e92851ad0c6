package org.catkinlift.cli;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.google.common.base.Ascii;
import java.nio.file.Path;
import org.catkinlift.daemon.json.JsonDecoders;
import org.catkinlift.model.NetworkAddress;

/** Global options, which precede the command. JCommander sets the fields by reflection. */
final class CliOptions {
  private static final String DEFAULT_OPERATOR = "127.0.0.1:9400";

  @Parameter(
      names = "--operator",
      description = "operator address of a daemon, IP:PORT",
      converter = AddressConverter.class)
  private NetworkAddress operator = JsonDecoders.parseAddress(DEFAULT_OPERATOR).orElseThrow();

  @Parameter(names = "--token-file", description = "file whose first line is the operator token")
  private String tokenFile = "";

  @Parameter(names = "--format", description = "text or json", converter = FormatConverter.class)
  private OutputFormat format = OutputFormat.TEXT;

  @Parameter(names = "--help", help = true, description = "print this text and end")
  private boolean help;

  @Parameter(names = "--version", help = true, description = "print the version and end")
  private boolean version;

  CliOptions() {}

  NetworkAddress operator() {
    return operator;
  }

  OutputFormat format() {
    return format;
  }

  boolean help() {
    return help;
  }

  boolean version() {
    return version;
  }

  /**
   * Returns the path of the file that holds the operator token.
   *
   * @return the path
   * @throws ParameterException if the option is missing
   */
  Path tokenFile() {
    if (tokenFile.isEmpty()) {
      throw new ParameterException("--token-file FILE is required for this command");
    }
    return Path.of(tokenFile);
  }

  /** Parses {@code IP:PORT}; instantiated by JCommander. */
  static final class AddressConverter implements IStringConverter<NetworkAddress> {
    AddressConverter() {}

    @Override
    public NetworkAddress convert(String value) {
      return JsonDecoders.parseAddress(value)
          .orElseThrow(() -> new ParameterException("not an IP:PORT: " + value));
    }
  }

  /** Parses the name of an output format; instantiated by JCommander. */
  static final class FormatConverter implements IStringConverter<OutputFormat> {
    FormatConverter() {}

    @Override
    public OutputFormat convert(String value) {
      for (OutputFormat format : OutputFormat.values()) {
        if (Ascii.toLowerCase(format.name()).equals(value)) {
          return format;
        }
      }
      throw new ParameterException("--format must be text or json, was " + value);
    }
  }
}
