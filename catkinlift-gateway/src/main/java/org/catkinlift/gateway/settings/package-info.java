/** The settings of a daemon. */
package org.catkinlift.gateway.settings;
