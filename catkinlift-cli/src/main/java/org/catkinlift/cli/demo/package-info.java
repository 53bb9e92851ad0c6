/** Runs a complete site in one process, with stand-ins for the platform and the upstreams. */
package org.catkinlift.cli.demo;
