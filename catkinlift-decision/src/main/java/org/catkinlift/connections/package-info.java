/** Health checks of connections and the matching of answers to attempts. */
package org.catkinlift.connections;
