/** The share-out of bounded amounts over hosts, by demand and under leases. */
package org.catkinlift.shares;
