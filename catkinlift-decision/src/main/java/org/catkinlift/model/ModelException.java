package org.catkinlift.model;

/** Thrown when a value violates a constraint of the model. */
public final class ModelException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** The kind of violation. */
  public enum Code {
    /** A name is empty, too long or contains a character that is not allowed. */
    BAD_NAME,
    /** A number is outside its range. */
    OUT_OF_RANGE,
    /** A reference to something that does not exist. */
    UNKNOWN_REFERENCE,
    /** Two values contradict each other. */
    CONFLICT
  }

  private final Code code;

  /**
   * Creates the exception.
   *
   * @param code the kind of violation
   * @param message the value and the violated constraint
   */
  public ModelException(Code code, String message) {
    super(message);
    this.code = code;
  }

  /**
   * Returns the kind of violation.
   *
   * @return the code
   */
  public Code code() {
    return code;
  }
}
