/** The order and application of configuration versions. */
package org.catkinlift.configuration;
