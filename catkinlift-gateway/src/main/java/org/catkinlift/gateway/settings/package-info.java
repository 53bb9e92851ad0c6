/** The settings of one daemon. */
package org.catkinlift.gateway.settings;
