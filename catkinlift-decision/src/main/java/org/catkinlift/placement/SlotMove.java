package org.catkinlift.placement;

import java.util.Optional;
import org.catkinlift.model.UpstreamId;

/**
 * A change of the owner of one slot.
 *
 * @param slot the slot index
 * @param from the current owner, if there is one
 * @param to the next owner
 */
public record SlotMove(int slot, Optional<UpstreamId> from, UpstreamId to) {}
