/** Decoding of HTTP responses, shared by both daemons. */
package org.catkinlift.http;
