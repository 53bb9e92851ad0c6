package org.catkinlift.placement;

import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.CellId;
import org.catkinlift.model.CellLoad;

/**
 * What moves of slots from one cell to others are planned from.
 *
 * @param own the cell that may give slots away
 * @param cells the load of each cell, all measured under the present home map; the own cell
 *     included
 * @param slotLoads the load of each slot that may leave, with the keys that are placed apart from
 *     it
 */
public record CellBalanceInput(
    CellId own,
    ImmutableMap<CellId, CellLoad.Measured> cells,
    ImmutableMap<Integer, Double> slotLoads) {}
