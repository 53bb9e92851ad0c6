package org.catkinlift.model;

/** Reports a value that violates a rule of the model. */
public final class ModelException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What is wrong with the value. */
  public enum Code {
    /** A name is empty, too long or holds a character that is not allowed. */
    BAD_NAME,
    /** A number is outside its range. */
    OUT_OF_RANGE,
    /** A reference names something that does not exist. */
    UNKNOWN_REFERENCE,
    /** Two values contradict each other. */
    CONFLICT
  }

  private final Code code;

  /**
   * Creates the exception.
   *
   * @param code what is wrong
   * @param message the value and the rule
   */
  public ModelException(Code code, String message) {
    super(message);
    this.code = code;
  }

  /**
   * Returns what is wrong.
   *
   * @return the code
   */
  public Code code() {
    return code;
  }
}
