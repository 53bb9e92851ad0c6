/** The operator API over HTTP: codecs and the server. Decisions are left to the control thread. */
package org.catkinlift.daemon.operator;
