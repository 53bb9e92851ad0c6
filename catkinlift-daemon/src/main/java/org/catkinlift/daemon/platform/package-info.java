/** The adapter to the platform's table and host list. */
package org.catkinlift.daemon.platform;
