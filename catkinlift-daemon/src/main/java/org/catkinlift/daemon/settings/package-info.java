/** The settings of one daemon: immutable values, a strict reader and the list of all keys. */
package org.catkinlift.daemon.settings;
