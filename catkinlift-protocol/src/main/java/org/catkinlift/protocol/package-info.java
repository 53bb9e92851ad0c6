/** The inner protocol between daemons: frames, codecs and connections. */
package org.catkinlift.protocol;
