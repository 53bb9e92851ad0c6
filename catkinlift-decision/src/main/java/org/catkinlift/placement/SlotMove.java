package org.catkinlift.placement;

import java.util.Optional;
import org.catkinlift.model.UpstreamId;

/**
 * One slot that gets another owner.
 *
 * @param slot the slot index
 * @param from the present owner, if there is one
 * @param to the next owner
 */
public record SlotMove(int slot, Optional<UpstreamId> from, UpstreamId to) {}
