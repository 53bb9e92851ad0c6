/** The {@code catkinlift} command line: arguments, operator API client and output. */
package org.catkinlift.cli;
