package org.catkinlift.daemon.settings;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;

/** Thrown if the settings are unreadable or invalid; contains all errors. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** The kind of failure. */
  public enum Code {
    /** The file cannot be read. */
    NOT_READABLE,
    /** The text is not JSON. */
    MALFORMED,
    /** Values are missing, unknown, invalid or inconsistent with each other. */
    INVALID
  }

  private final Code code;
  private final transient ImmutableList<SettingsError> errors;

  /**
   * Creates the exception for errors of a document.
   *
   * @param code the kind of failure
   * @param errors all errors, in the order of the document
   */
  public SettingsException(Code code, ImmutableList<SettingsError> errors) {
    super(code + ": " + Joiner.on("; ").join(errors));
    this.code = code;
    this.errors = errors;
  }

  /**
   * Creates the exception for a single error.
   *
   * @param code the kind of failure
   * @param error the error
   */
  public SettingsException(Code code, SettingsError error) {
    this(code, ImmutableList.of(error));
  }

  /**
   * Creates the exception for a single error with a cause.
   *
   * @param code the kind of failure
   * @param error the error
   * @param cause the exception of the lower layer
   */
  public SettingsException(Code code, SettingsError error, Throwable cause) {
    this(code, error);
    initCause(cause);
  }

  /**
   * Returns the kind of failure.
   *
   * @return the code
   */
  public Code code() {
    return code;
  }

  /**
   * Returns all errors.
   *
   * @return the errors, in the order of the document
   */
  public ImmutableList<SettingsError> errors() {
    return errors;
  }
}
