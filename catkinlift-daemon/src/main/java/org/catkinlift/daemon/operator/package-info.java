/** The operator API over HTTP: JSON codecs, the calls and the server. It decides nothing. */
package org.catkinlift.daemon.operator;
