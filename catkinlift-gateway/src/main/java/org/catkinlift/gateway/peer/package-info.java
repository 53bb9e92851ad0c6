/** The internal protocol between daemons. */
package org.catkinlift.gateway.peer;
