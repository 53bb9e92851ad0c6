/** Dissemination of the configuration and other versioned values among daemons. */
package org.catkinlift.configuration;
