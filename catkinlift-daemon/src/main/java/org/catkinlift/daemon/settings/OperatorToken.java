package org.catkinlift.daemon.settings;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.errorprone.annotations.Immutable;
import java.security.MessageDigest;

/** The secret that authenticates operators. Its text is not accessible, so it cannot be logged. */
@Immutable
public final class OperatorToken {
  /** The minimum number of characters; shorter tokens could be guessed. */
  public static final int MIN_LENGTH = 16;

  private static final String HIDDEN = "(hidden)";

  private final String text;

  private OperatorToken(String text) {
    this.text = text;
  }

  /**
   * Returns the token with the given text.
   *
   * @param text the text
   * @return the token
   * @throws SettingsException with code {@code INVALID} if it is shorter than {@link #MIN_LENGTH}
   */
  public static OperatorToken of(String text) {
    if (text.length() < MIN_LENGTH) {
      throw new SettingsException(
          SettingsException.Code.INVALID, new SettingsError("operatorToken", HIDDEN, allowed()));
    }
    return new OperatorToken(text);
  }

  /**
   * Compares a text with the token.
   *
   * <p>To prevent timing attacks, the time does not depend on the number of matching characters.
   *
   * @param candidate the text to check
   * @return true if it equals the token
   */
  public boolean matches(String candidate) {
    return MessageDigest.isEqual(text.getBytes(UTF_8), candidate.getBytes(UTF_8));
  }

  @Override
  public String toString() {
    return HIDDEN;
  }

  static String allowed() {
    return "string of at least " + MIN_LENGTH + " characters";
  }
}
