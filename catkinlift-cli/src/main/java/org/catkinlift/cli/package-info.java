/** The operators' command line: arguments, client, output. */
package org.catkinlift.cli;
