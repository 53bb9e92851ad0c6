/** The settings of one daemon: immutable values, a strict reader and the declared keys. */
package org.catkinlift.daemon.settings;
