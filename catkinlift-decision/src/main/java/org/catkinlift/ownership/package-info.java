/** Cell authority, grants and leases. */
package org.catkinlift.ownership;
