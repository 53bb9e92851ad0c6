/** The HTTP adapter to the platform's table and host list, with the JSON codecs of its rows. */
package org.catkinlift.daemon.platform;
