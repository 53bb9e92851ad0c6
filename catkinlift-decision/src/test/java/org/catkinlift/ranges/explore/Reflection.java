package org.catkinlift.ranges.explore;

import com.google.common.collect.ImmutableList;
import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.Arrays;
import java.util.Comparator;
import org.catkinlift.ranges.RangeCoordinator;

/** Access to the private state of a coordinator, which has no use for it outside this search. */
final class Reflection {
  private static final String PACKAGE = RangeCoordinator.class.getPackageName();

  private static final ClassValue<ImmutableList<Field>> FIELDS =
      new ClassValue<>() {
        @Override
        protected ImmutableList<Field> computeValue(Class<?> type) {
          return Arrays.stream(type.getDeclaredFields())
              .filter(f -> !Modifier.isStatic(f.getModifiers()) && !f.isSynthetic())
              .peek(f -> f.setAccessible(true))
              .sorted(Comparator.comparing(Field::getName))
              .collect(ImmutableList.toImmutableList());
        }
      };

  private static final ClassValue<Constructor<?>> CONSTRUCTORS =
      new ClassValue<>() {
        @Override
        protected Constructor<?> computeValue(Class<?> type) {
          Constructor<?> constructor = type.getDeclaredConstructors()[0];
          constructor.setAccessible(true);
          return constructor;
        }
      };

  private Reflection() {}

  /** Returns whether an object is an instance of a class of the package of the coordinator. */
  static boolean isOfRanges(Object value) {
    return value.getClass().getPackageName().equals(PACKAGE);
  }

  /** Returns the instance fields of a class by name. */
  static ImmutableList<Field> fieldsOf(Class<?> type) {
    return FIELDS.get(type);
  }

  /** Returns the only constructor of a class. */
  static Constructor<?> constructorOf(Class<?> type) {
    return CONSTRUCTORS.get(type);
  }

  static Object get(Field field, Object owner) {
    try {
      return field.get(owner);
    } catch (IllegalAccessException e) {
      throw new IllegalStateException(e);
    }
  }

  static void set(Field field, Object owner, Object value) {
    try {
      field.set(owner, value);
    } catch (IllegalAccessException e) {
      throw new IllegalStateException(e);
    }
  }

  static Object create(Constructor<?> constructor, Object... arguments) {
    try {
      return constructor.newInstance(arguments);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }
}
