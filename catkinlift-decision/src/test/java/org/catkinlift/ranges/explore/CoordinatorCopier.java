package org.catkinlift.ranges.explore;

import java.lang.reflect.Field;
import java.lang.reflect.Parameter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.catkinlift.ranges.KeyLoad;
import org.catkinlift.ranges.RangeCoordinator;

/**
 * Copies a coordinator with its mutable state, so that a search need not replay all steps before
 * each new one. A copy is constructed, and its fields are then overwritten; immutable values are
 * shared. {@link ExhaustiveSearch} confirms what it finds by a replay without copies.
 */
final class CoordinatorCopier {
  private final IdentityHashMap<Object, Object> copies = new IdentityHashMap<>();
  private final KeyLoad load;

  private CoordinatorCopier(KeyLoad load) {
    this.load = load;
  }

  /** Returns a copy of a coordinator that uses a given load. */
  static RangeCoordinator copy(RangeCoordinator original, KeyLoad load) {
    return (RangeCoordinator) new CoordinatorCopier(load).copyOf(original);
  }

  private Object copyOf(Object value) {
    return switch (value) {
      case KeyLoad shared -> load;
      case ArrayList<?> list -> copyOfList(list);
      case LinkedHashMap<?, ?> map -> copyOfMap(map, new LinkedHashMap<>());
      case HashMap<?, ?> map -> copyOfMap(map, new HashMap<>());
      case Record record when Reflection.isOfRanges(record) -> copyOfRecord(record);
      case Object object when Reflection.isOfRanges(object) -> copyOfInstance(object);
      default -> value;
    };
  }

  private List<Object> copyOfList(List<?> list) {
    List<Object> copy = new ArrayList<>();
    list.forEach(e -> copy.add(copyOf(e)));
    return copy;
  }

  private Map<Object, Object> copyOfMap(Map<?, ?> map, Map<Object, Object> copy) {
    map.forEach((key, value) -> copy.put(key, copyOf(value)));
    return copy;
  }

  /** Returns the record itself if it holds no mutable values. */
  private Object copyOfRecord(Record original) {
    Object[] values =
        Arrays.stream(original.getClass().getRecordComponents())
            .map(c -> valueOf(c.getName(), original))
            .toArray();
    Object[] copied = Arrays.stream(values).map(this::copyOf).toArray();
    return Arrays.equals(values, copied)
        ? original
        : Reflection.create(Reflection.constructorOf(original.getClass()), copied);
  }

  private static Object valueOf(String name, Object owner) {
    return Reflection.fieldsOf(owner.getClass()).stream()
        .filter(f -> f.getName().equals(name))
        .map(f -> Reflection.get(f, owner))
        .findFirst()
        .orElseThrow();
  }

  private Object copyOfInstance(Object original) {
    Object known = copies.get(original);
    if (known != null) {
      return known;
    }
    var constructor = Reflection.constructorOf(original.getClass());
    Object[] arguments =
        Arrays.stream(constructor.getParameters()).map(p -> argument(p, original)).toArray();
    Object copy = Reflection.create(constructor, arguments);
    copies.put(original, copy);
    for (Field field : Reflection.fieldsOf(original.getClass())) {
      Reflection.set(field, copy, copyOf(Reflection.get(field, original)));
    }
    return copy;
  }

  /** Returns a valid argument; the fields are overwritten after the construction. */
  private Object argument(Parameter parameter, Object original) {
    if (parameter.getType() == long.class) {
      return 0L;
    }
    return Reflection.fieldsOf(original.getClass()).stream()
        .filter(f -> f.getType() == parameter.getType())
        .map(f -> copyOf(Reflection.get(f, original)))
        .findFirst()
        .orElseThrow();
  }
}
