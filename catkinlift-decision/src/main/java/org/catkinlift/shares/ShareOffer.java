package org.catkinlift.shares;

/**
 * A new share of a host, with tokens that it may spend at once.
 *
 * @param share the share
 * @param tokens the tokens, as a fraction of the capacity of the whole bucket
 */
public record ShareOffer(Share share, double tokens) {
  /**
   * Checks the tokens.
   *
   * @throws IllegalArgumentException if they are not between 0 and 1
   */
  public ShareOffer {
    if (!(tokens >= 0 && tokens <= 1)) {
      throw new IllegalArgumentException("invalid tokens: " + tokens);
    }
  }
}
