/** The health of connections and the matching of answers. */
package org.catkinlift.connections;
