package org.catkinlift.placement;

import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.CellId;
import org.catkinlift.model.CellLoad;

/**
 * The input for planning moves of slots from one cell to others.
 *
 * @param own the cell that may move slots away
 * @param cells the load of each cell, including the own cell, all measured under the current home
 *     map
 * @param slotLoads the load of each slot that may move, including the keys that have an override
 */
public record CellBalanceInput(
    CellId own,
    ImmutableMap<CellId, CellLoad.Measured> cells,
    ImmutableMap<Integer, Double> slotLoads) {}
