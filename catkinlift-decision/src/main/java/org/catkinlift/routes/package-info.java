/** Routes of callers' requests to services, as one version of the operators' configuration. */
package org.catkinlift.routes;
