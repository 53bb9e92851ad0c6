package org.catkinlift.ranges.explore;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Guards against two holders of a key, a grant while another upstream works on the key, and tokens
 * that do not rise, in orders of events that random faults miss.
 */
final class RangeCoordinatorSearchTest {
  /** Sets the bounds of a deeper search, such as {@code ONE_HOLDER,8,1,1}. */
  private static final String BOUNDS = "search.bounds";

  private static void assertNoViolation(SearchBounds bounds) {
    SearchResult result = ExhaustiveSearch.run(bounds);
    System.out.println(result);
    assertWithMessage("%s", result).that(result.violation().isPresent()).isFalse();
  }

  @Test
  void noOrderOfCallsAndFaultsBreaksOwnership() {
    assertNoViolation(new SearchBounds(StartState.ONE_HOLDER, 5, 2, 1));
  }

  @Test
  void noOrderAfterAMoveBackBreaksOwnership() {
    assertNoViolation(new SearchBounds(StartState.MOVED_BACK, 5, 1, 0));
  }

  @Test
  void noOrderAfterASplitBreaksOwnership() {
    assertNoViolation(new SearchBounds(StartState.TWO_HOLDERS, 5, 1, 0));
  }

  /**
   * Run by hand, because a deep search takes minutes: {@code mvn -pl catkinlift-decision test
   * -Dtest=RangeCoordinatorSearchTest -Dsearch.bounds=ONE_HOLDER,7,1,1}.
   */
  @Test
  @EnabledIfSystemProperty(named = BOUNDS, matches = ".+")
  void noOrderWithinGivenBoundsBreaksOwnership() {
    assertNoViolation(SearchBounds.parse(System.getProperty(BOUNDS)));
  }
}
